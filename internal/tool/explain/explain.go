// Package explain asks a running gateway or entry where a call would be placed now, and why,
// and prints the answer. The gateway uses its types for the answer.
package explain

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/httpc"
	"github.com/mimosalock/mimosalock/internal/router/serve"
)

// Path is where gateways answer, at their port of peers and metrics.
const Path = "/explain"

// timeout is longer than a gateway under full load takes for its largest answer.
const timeout = 5 * time.Second

// Query describes the call.
type Query struct {
	Host, Path     string
	Workspace      string // name, empty for a call without a key
	Prompt, Output int    // tokens
	Parts          string // of the prompt: ID:TOKENS,...
}

// Names of the parameters.
const (
	paramHost      = "host"
	paramPath      = "path"
	paramWorkspace = "workspace"
	paramPrompt    = "prompt"
	paramOutput    = "output"
	paramParts     = "parts"
)

// Parse returns the query of a request.
func Parse(values url.Values) (q Query, err error) {
	q = Query{Host: values.Get(paramHost), Path: values.Get(paramPath), Workspace: values.Get(paramWorkspace), Parts: values.Get(paramParts)}
	if q.Host == "" || q.Path == "" {
		return q, &Error{"parse", KindInvalid, "host and path are required"}
	}
	for name, to := range map[string]*int{paramPrompt: &q.Prompt, paramOutput: &q.Output} {
		if text := values.Get(name); text != "" {
			if *to, err = strconv.Atoi(text); err != nil || *to < 0 {
				return q, &Error{"parse", KindInvalid, fmt.Sprintf("%s is %q, not a number of tokens", name, text)}
			}
		}
	}
	return q, nil
}

func (q Query) encode() string {
	values := url.Values{paramHost: {q.Host}, paramPath: {q.Path}, paramPrompt: {strconv.Itoa(q.Prompt)}, paramOutput: {strconv.Itoa(q.Output)}}
	for name, text := range map[string]string{paramWorkspace: q.Workspace, paramParts: q.Parts} {
		if text != "" {
			values.Set(name, text)
		}
	}
	return values.Encode()
}

// Target is another service of the route, with its weight.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Answer is what a gateway answers.
type Answer struct {
	Gateway       string   `json:"gateway"`
	Route         string   `json:"route"`
	Workspace     string   `json:"workspace,omitempty"`
	Priority      int      `json:"priority"`
	Regions       []string `json:"regions,omitempty"` // allowed, all if empty
	ConfigVersion uint64   `json:"config_version"`
	RegistryAge   int64    `json:"registry_age_ms"`         // since the copy was last known to be current
	OtherTargets  []Target `json:"other_targets,omitempty"` // services that get the rest of the route's calls
	Notes         []string `json:"notes,omitempty"`
	serve.Explanation
}

// Fetch asks the gateway whose port of peers and metrics has an address.
func Fetch(address string, q Query) (a Answer, err error) {
	return a, get(address, Path+"?"+q.encode(), &a)
}

// get reads the answer of a process.
func get(address, target string, answer any) error {
	code, body, err := httpc.Get(address, target, timeout)
	switch {
	case err != nil:
		return &Error{"fetch", KindUnreachable, err.Error()}
	case code == http.StatusTooManyRequests:
		return &Error{"fetch", KindLimited, "a process answers at most 2 questions a second, try again"}
	case code != http.StatusOK:
		return &Error{"fetch", KindRefused, fmt.Sprintf("status %d: %s", code, body)}
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return &Error{"fetch", KindInvalid, err.Error()}
	}
	return nil
}

// Kind is the kind of an Error.
type Kind uint8

// The values of Kind.
const (
	KindInvalid     Kind = iota // the question or the answer is malformed
	KindUnreachable             // no answer came
	KindRefused                 // the process cannot answer this question
	KindLimited                 // too many questions
)

// Error is the error type of the package.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

func (e *Error) Error() string { return "explain: " + e.Op + ": " + e.Detail }
