package local_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

func TestBadRequests(t *testing.T) {
	r := start(t, local.Options{Entries: 1, Engines: 1, PlainWorkers: 1, AdjustConfig: func(f *spec.File) {
		f.Services[0].MaxBodyBytes, f.Services[1].MaxBodyBytes = 1000, 1000
		f.Workspaces[1].Services = []string{local.PlainService}
		f.Workspaces = append(f.Workspaces, spec.Workspace{Name: "limited", KeySHA256: local.HashKey("limited-key"), PerSecond: 0.001})
	}})
	chat, depot := "/v1/chat/completions", "/services/"+local.PlainService
	good := `{"model":"` + local.ModelName + `","messages":[{"role":"user","content":"len=3"}]}`
	big := `{"model":"` + local.ModelName + `","prompt":"` + strings.Repeat("x", 2000) + `"}`
	cases := []struct {
		name, method, path, key, body string
		status                        int
		code                          string
	}{
		{"good", "POST", chat, local.Key, good, 200, ""},
		{"no key", "POST", chat, "", good, 401, "invalid_api_key"},
		{"not JSON", "POST", chat, local.Key, `{"model":`, 400, "invalid_json"},
		{"no model", "POST", chat, local.Key, `{}`, 400, "missing_field"},
		{"wrong type", "POST", chat, local.Key, `{"model":"m","stream":"yes"}`, 400, "invalid_type"},
		{"range", "POST", chat, local.Key, `{"model":"m","max_tokens":0}`, 400, "out_of_range"},
		{"unknown model", "POST", chat, local.Key, `{"model":"m"}`, 404, "model_not_found"},
		{"too large", "POST", chat, local.Key, big, 413, "request_too_large"},
		{"not allowed", "POST", chat, local.OtherKey, good, 403, "permission_denied"},
		{"first within limit", "POST", chat, "limited-key", good, 200, ""},
		{"over limit", "POST", chat, "limited-key", good, 429, "not_run"},
		{"no such path", "GET", "/v2/x", local.Key, "", 404, "invalid_request"},
		{"no such service", "GET", "/services/none/x", local.Key, "", 404, "service_not_found"},
		{"too large for a service", "POST", depot + "/x", local.Key, big, 413, "request_too_large"},
		{"dot segments", "POST", depot + "/a/%2e%2e/bookings/new", local.Key, "", 400, "invalid_path"},
		{"query is ignored", "POST", chat + "?resume", local.Key, good, 200, ""},
		{"bad call ID", "GET", "/v1/streams/zzz", local.Key, "", 400, "invalid_call_id"},
		{"unknown host", "DELETE", "/v1/streams/0123456789abcdef.x.y.1", local.Key, "", 404, "stream_not_found"},
		{"ticket for a model", "POST", "/v1/tickets", local.Key, `{"service":"plans"}`, 404, "service_not_found"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, body := request(t, c.method, "http://"+r.Entries()[0].CallerAddr+c.path, c.key, c.body, nil)
			var reply struct {
				Error struct{ Code, Message, Outcome string }
			}
			if c.code != "" && json.Unmarshal(body, &reply) != nil {
				t.Fatalf("the response is not JSON: %s", body)
			}
			if resp.StatusCode != c.status || reply.Error.Code != c.code {
				t.Fatalf("status %d, body %s", resp.StatusCode, body)
			}
			if c.code != "" && (resp.Header.Get("Mimosalock-Outcome") != "not_run" || reply.Error.Outcome != "not_run") {
				t.Fatalf("outcome %q, body %s", resp.Header.Get("Mimosalock-Outcome"), body)
			}
		})
	}
}

func request(t *testing.T, method, url, key, body string, header http.Header) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(testContext(t), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		req.Header = header
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, raw
}

func TestPlainPassThrough(t *testing.T) {
	r := start(t, local.Options{Entries: 1, PlainWorkers: 1})
	url := "http://" + r.Entries()[0].CallerAddr + "/services/" + local.PlainService + "/stock/a%20b?x=1&y=2"
	header := http.Header{"X-Call": {"mark"}, "Connection": {"X-Private"}, "X-Private": {"1"}}
	resp, body := request(t, "PUT", url, local.Key, "payload", header)
	var echo struct{ Method, Path, Call, Body string }
	if err := json.Unmarshal(body, &echo); err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	if echo.Method != "PUT" || echo.Path != "/stock/a%20b?x=1&y=2" || echo.Call != "mark" || echo.Body != "payload" {
		t.Fatalf("the service saw %+v", echo)
	}
	if resp.Header.Get("Mimosalock-Outcome") != "complete" || resp.Header.Get("X-Worker") == "" {
		t.Fatalf("headers %v", resp.Header)
	}
	head, _ := request(t, "HEAD", url, local.Key, "", nil)
	if head.StatusCode != 200 {
		t.Fatalf("HEAD got status %d", head.StatusCode)
	}
	_, large := request(t, "POST", url, local.Key, strings.Repeat("z", 300_000), nil)
	if !bytes.Contains(large, bytes.Repeat([]byte("z"), 300_000)) {
		t.Fatalf("a large body came back as %d bytes", len(large))
	}
}
