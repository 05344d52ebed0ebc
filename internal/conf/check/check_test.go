package check

import (
	"strings"
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
)

func TestFaults(t *testing.T) {
	good := `{"name": "s", "kind": "plain"}`
	cases := []struct {
		name, src, want string // want contains all faults, one per line
	}{
		{"good", `{"services": [` + good + `]}`, ""},
		{"comment and comma", "{\n// note\n\"services\": [" + good + ",],\n}", ""},
		{"syntax", `{"services": [}`, `f:1:15: invalid character '}' at start of value`},
		{"unknown field", `{"services": [{"name": "s", "knd": "plain", "kind": "plain"}]}`, `f:1:29: unknown field "knd", did you mean "kind"?`},
		{"wrong type", `{"services": [{"name": 3, "kind": "plain"}]}`, `f:1:24: expected a string, found 3`},
		{"object for array", `{"services": {}}`, `f:1:14: expected an array, found an object`},
		{"null", `{"services": [{"name": "s", "kind": "plain", "floor": null}]}`, `f:1:55: expected a whole number, found null`},
		{"fraction", `{"services": [{"name": "s", "kind": "plain", "floor": 1.5}]}`, `f:1:55: expected a whole number, found 1.5`},
		{"twice", `{"services": [], "services": []}`, `f:1:18: field "services" appears twice`},
		{"kind", `{"services": [{"name": "s", "kind": "modl"}]}`, `f:1:37: "modl" is not one of model, plain, did you mean "model"?`},
		{"range", "{\"services\": [{\"name\": \"s\", \"kind\": \"plain\",\n \"floor\": 5000}]}", "f:2:11: 5000 is out of range 0 to 1024\nf:2:11: floor 5000 exceeds max_concurrency 64"},
		{"same name", `{"services": [` + good + `, ` + good + `]}`, `f:1:56: service "s" is defined twice`},
		{"model without models", `{"services": [{"name": "s", "kind": "model"}]}`, `f:1:15: model service "s" names no models`},
		{
			"unknown data centre", `{"data_centres": [{"name": "mayo-a", "region": "n"}], "services": [{"name": "s", "kind": "plain", "data_centres": ["mayo-b"]}]}`,
			`f:1:116: data centre "mayo-b" does not exist, did you mean "mayo-a"?`,
		},
		{"unknown service", `{"workspaces": [{"name": "w", "key_sha256": "` + strings.Repeat("0", 64) + `", "services": ["x"]}]}`, `f:1:126: service "x" does not exist`},
		{
			"same key in another case", `{"workspaces": [{"name": "v", "key_sha256": "` + strings.Repeat("a", 64) + `"}, {"name": "w", "key_sha256": "` + strings.Repeat("A", 64) + `"}]}`,
			`f:1:142: workspace key "` + strings.Repeat("a", 64) + `" is defined twice`,
		},
		{"key", `{"workspaces": [{"name": "w", "key_sha256": "zz"}]}`, `f:1:45: expected 64 hexadecimal digits`},
		{
			"two faults", `{"services": [{"name": "S", "kind": "x"}]}`,
			"f:1:24: service name \"S\" must be 1 to 63 lower-case letters, digits and dashes\nf:1:37: \"x\" is not one of model, plain",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var lines []string
			for _, f := range Bytes("f", []byte(c.src)).Faults {
				lines = append(lines, f.String())
			}
			if got := strings.Join(lines, "\n"); got != c.want {
				t.Fatalf("got\n%s\nwant\n%s", got, c.want)
			}
		})
	}
}

func TestExamples(t *testing.T) {
	res, err := Paths([]string{"../../../examples"})
	if err != nil || len(res.Faults) > 0 {
		t.Fatalf("%v %v", err, res.Faults)
	}
	b, err := bundle.Build(1, res.Merged)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bundle.Assemble(b.Raw(), b.Shards(), false); err != nil {
		t.Fatal(err)
	}
}

func FuzzBytes(f *testing.F) {
	f.Add([]byte(`{"services": [{"name": "s", "kind": "plain", "no_repeat": [{"methods": ["POST"], "path": "/a/**"}]}]}`))
	f.Add([]byte("{\"data_centres\": [{\"name\": \"a\", \"region\": \"b\"}], // x\n}"))
	f.Fuzz(func(t *testing.T, src []byte) {
		res := Bytes("f", src)
		if len(res.Faults) > 0 {
			return
		}
		if _, err := bundle.Build(1, res.Merged); err != nil {
			t.Fatalf("a file without faults cannot be published: %v", err)
		}
	})
}
