package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// ask is one attempt of a requester.
type ask struct {
	method, host, target, key string
	deadline                  time.Duration
	body                      string
	headers                   []string // further lines
}

// answer is what the requester saw.
type answer struct {
	id         string
	sent       time.Time
	status     int // 0 for none
	stamp      string
	retryAfter string
	body       string
	complete   bool
	err        error
	took       time.Duration
}

// served reports a success that is the worker's own and whole.
func (a answer) served() bool { return a.status/100 == 2 && a.complete && a.stamp != "" }

// send sends one attempt and writes it and its answer to the record.
func (b *bed) send(to string, q ask) answer {
	a := send(to, q)
	b.note("request %s %s %s (key %q, %d bytes) to %s: status %d, stamp %q, %d bytes, complete %v, error %v, after %d ms",
		a.id, q.method, q.target, q.key, len(q.body), to, a.status, a.stamp, len(a.body), a.complete, a.err, a.took.Milliseconds())
	return a
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt over a new connection and reads the answer.
func send(to string, q ask) (a answer) {
	a.id, a.sent = newID(), time.Now()
	defer func() { a.took = time.Since(a.sent) }()
	c, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(a.sent.Add(q.deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.host, a.id, q.deadline.Milliseconds())
	if q.key != "" {
		text += "Authorization: Token " + q.key + "\r\n"
	}
	for _, line := range q.headers {
		text += line + "\r\n"
	}
	if q.method != http.MethodGet || q.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(c, text+"\r\n"+q.body); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.stamp, a.retryAfter = resp.StatusCode, resp.Header.Get("Server-Stamp"), resp.Header.Get("Retry-After")
	body, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	return a
}
