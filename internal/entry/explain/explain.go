// Package explain holds the question where an entry would place a call now, and the answer.
// Package server answers it.
package explain

import (
	"fmt"
	"net/url"
	"strconv"

	"github.com/mimosalock/mimosalock/internal/entry/quota"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
)

// Path is where entries answer, at their administration port.
const Path = "/explain"

// maxTokens is the largest number of tokens in a query.
const maxTokens = 1 << 30

// Query describes the call.
type Query struct {
	Workspace      string // name
	Service, Model string // the service, or a model that it serves
	Prompt, Output int    // tokens
}

// Names of the parameters.
const (
	paramWorkspace = "workspace"
	paramService   = "service"
	paramModel     = "model"
	paramPrompt    = "prompt"
	paramOutput    = "output"
)

// Parse returns the query of a request.
func Parse(values url.Values) (q Query, err error) {
	q = Query{Workspace: values.Get(paramWorkspace), Service: values.Get(paramService), Model: values.Get(paramModel)}
	if q.Workspace == "" || q.Service == "" && q.Model == "" {
		return q, &Error{"a workspace, and a service or a model, are required"}
	}
	for name, to := range map[string]*int{paramPrompt: &q.Prompt, paramOutput: &q.Output} {
		if text := values.Get(name); text != "" {
			if *to, err = strconv.Atoi(text); err != nil || *to < 0 || *to > maxTokens {
				return q, &Error{fmt.Sprintf("%s is %q, not a number of tokens", name, text)}
			}
		}
	}
	return q, nil
}

// Encode returns the query as it stands in a URL.
func (q Query) Encode() string {
	values := url.Values{paramWorkspace: {q.Workspace}, paramPrompt: {strconv.Itoa(q.Prompt)}, paramOutput: {strconv.Itoa(q.Output)}}
	for name, text := range map[string]string{paramService: q.Service, paramModel: q.Model} {
		if text != "" {
			values.Set(name, text)
		}
	}
	return values.Encode()
}

// Answer is what an entry answers.
type Answer struct {
	Result        relay.Result   `json:"result"`
	Entry         string         `json:"entry"`
	DataCentre    string         `json:"data_centre"`
	Service       string         `json:"service"`
	Model         string         `json:"model,omitempty"`
	Workspace     string         `json:"workspace"`
	Class         string         `json:"class"`
	Priority      int32          `json:"priority"`
	MaxQueueMs    uint32         `json:"max_queue_ms"` // an agent refuses a call that it expects to wait longer
	Quota         quota.Decision `json:"quota"`        // of this entry, before the call
	Entries       int            `json:"entries"`      // that divide the workspace's limits among them
	ConfigVersion uint64         `json:"config_version"`
	ConfigAgeMs   int64          `json:"config_age_ms"`    // since the version was last confirmed, -1 if never
	HostListAgeMs int64          `json:"host_list_age_ms"` // since the list was last confirmed, -1 if never
	Notes         []string       `json:"notes,omitempty"`
	relay.Explanation
}

// Error is a malformed query.
type Error struct{ Detail string }

func (e *Error) Error() string { return "explain: " + e.Detail }
