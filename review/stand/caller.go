package stand

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one attempt of a caller.
type Call struct {
	Method  string
	Host    string
	Path    string
	Key     string // API key
	Body    string
	Limit   time.Duration // that the caller waits at most
	Headers map[string]string
}

// Result is what a caller has seen.
type Result struct {
	ID     string
	Sent   time.Time
	Ended  time.Time
	Status int // 0 if there was no answer
	Stamp  string
	Body   string
	Whole  bool // the body arrived completely
	Err    error
}

// Send sends one attempt to a gateway over a new connection and waits for its end.
func Send(record *Record, gateway string, c Call) (res Result) {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	res = Result{ID: hex.EncodeToString(id), Sent: time.Now()}
	defer func() { res.Ended = time.Now() }()
	req, err := http.NewRequest(c.Method, "http://"+gateway+c.Path, strings.NewReader(c.Body))
	if err != nil {
		res.Err = err
		return res
	}
	req.Host = c.Host
	for name, value := range c.Headers {
		req.Header.Set(name, value)
	}
	req.Header.Set("Attempt-Id", res.ID)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.Limit.Milliseconds(), 10))
	if c.Key != "" {
		req.Header.Set("Authorization", "Token "+c.Key)
	}
	client := http.Client{Timeout: c.Limit + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		res.Err = err
		record.Printf("caller %s to %s: %s %s: no answer: %v", res.ID, gateway, c.Method, c.Path, err)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	res.Status, res.Stamp, res.Body, res.Whole, res.Err = resp.StatusCode, resp.Header.Get("Server-Stamp"), string(body), err == nil, err
	record.Printf("caller %s to %s: %s %s: status %d, stamp %q, whole %v, %d bytes", res.ID, gateway, c.Method, c.Path, res.Status, res.Stamp, res.Whole, len(body))
	return res
}
