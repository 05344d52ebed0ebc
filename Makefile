# Development tasks.
.PHONY: gateway demo test check proto fmt lint ci bench regress

# Deployments of the regression runs, the newest ones first. BENCH names the users' bench
# and SITES the folder of their site files.
REGRESSION = demands/tidewrack-bc-grown demands/brunnhalde-wallet-grown shifted/corrib-grit-now-grown \
	further-grown/qarmi-visits-grown further/qarmi-visits large/corrib-grit-large \
	grown/corrib-grit-grown grown/fernhollow-kits-grown sites/corrib-grit sites/fernhollow-kits

demo: ## run a small fleet on loopback
	go run ./cmd/mimosalock demo --calls 40 --seed 1

test: ## run all tests
	go test -timeout 30m ./...

gateway: ## build the gateway, the program for the users' platform
	go build -ldflags=-linkmode=external -o target/ ./cmd/gateway

check: ## validate the example service files
	go run ./cmd/mimosalock check examples/corrib examples/fernhollow

proto: ## generate internal/wire/peerpb; needs protoc, protoc-gen-go, protoc-gen-go-drpc
	cd internal/wire/peerpb && protoc -I. --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto

fmt: ## format Go files with gofumpt
	gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

lint: ## run the linter
	revive -config revive.toml -set_exit_status ./...

bench: ## run all benchmarks
	go test -run '^$$' -bench . -benchmem ./...

regress: ## score the regression deployments: make regress BENCH=PATH SITES=DIR
	for site in $(REGRESSION); do $(BENCH) score $(SITES)/$$site.toml --why "regression run" || exit 1; done

ci: ## run the CI checks
	.ci/run
