package server

import (
	"strings"
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

func FuzzServiceTarget(f *testing.F) {
	f.Add("/services/depot/bookings/new?x=1")
	f.Add("/services/depot/%2e%2e/x")
	rule := spec.Service{NoRepeat: []spec.NoRepeat{{Methods: []string{"POST"}, Path: "/bookings/**"}}}
	f.Fuzz(func(t *testing.T, uri string) {
		target, path, err := serviceTarget(uri, "depot")
		if err != nil {
			return
		}
		if !strings.HasPrefix(target, "/") || strings.Contains(path, "/../") {
			t.Fatalf("serviceTarget(%q) = target %q, path %q", uri, target, path)
		}
		if strings.HasPrefix(path, "/bookings/") && rule.Repeatable("POST", path) {
			t.Fatalf("%q: a path under the no-repeat rule may run more than once", path)
		}
	})
}

func FuzzParseGeneration(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true,"max_tokens":5}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, fields, err := parseGeneration(body)
		if err == nil && (req.Model == "" || fields == nil || req.tokenLimit() < 0) {
			t.Fatalf("accepted invalid request %q", body)
		}
	})
}
