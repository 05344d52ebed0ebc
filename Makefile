# Index of chores.
.PHONY: gateway demo test check proto fmt lint ci bench

demo: ## run the whole path on loopback
	go run ./cmd/mimosalock demo --calls 40 --seed 1

test: ## all tests
	go test ./...

gateway: ## build the entry for the users' platform
	go build -ldflags=-linkmode=external -o target/ ./cmd/gateway

check: ## validate the example service files
	go run ./cmd/mimosalock check examples/corrib examples/fernhollow

proto: ## generate internal/wire/peerpb; needs protoc, protoc-gen-go, protoc-gen-go-drpc
	cd internal/wire/peerpb && protoc -I. --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto

fmt: ## format
	gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

lint: ## lint
	revive -config revive.toml -set_exit_status ./...

bench: ## benchmarks of the decision core and the data path
	go test -run '^$$' -bench . -benchmem ./...

ci: ## what CI runs
	.ci/run
