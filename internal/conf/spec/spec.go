// Package spec defines the configuration that operators write in service files:
// data centres, services and workspaces. Values are not modified after
// validation.
package spec

import (
	"strings"
	"time"
)

// File is the content of one service file. A file may contain any of the
// sections; publishing merges all files into one File.
type File struct {
	DataCentres []DataCentre `json:"data_centres,omitempty"`
	Services    []Service    `json:"services,omitempty"`
	Workspaces  []Workspace  `json:"workspaces,omitempty"`
}

// DataCentre is one data centre. A data centre that is out of service gets no
// new work.
type DataCentre struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	OutOfService bool   `json:"out_of_service,omitempty"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name           string     `json:"name"`
	Kind           Kind       `json:"kind"`
	Models         []string   `json:"models,omitempty"`
	DataCentres    []string   `json:"data_centres,omitempty"`    // empty for all
	Copies         int        `json:"copies,omitempty"`          // engines that load each model, 0 for all
	LoadSpacingMs  int        `json:"load_spacing_ms,omitempty"` // between the model loads of two engines
	Delivery       Delivery   `json:"delivery,omitempty"`
	Classes        []Class    `json:"classes,omitempty"`
	NoRepeat       []NoRepeat `json:"no_repeat,omitempty"`           // calls that may run at most once
	KeyHorizonSecs int        `json:"key_horizon_seconds,omitempty"` // retention of idempotency keys
	MaxBodyBytes   int        `json:"max_body_bytes,omitempty"`
	DeadlineSecs   int        `json:"deadline_seconds,omitempty"` // maximum duration of a call
	Floor          int        `json:"floor,omitempty"`            // concurrency limit of a cold endpoint
	MaxConcurrency int        `json:"max_concurrency,omitempty"`  // concurrency limit of a warm endpoint
	WarmUpWork     int        `json:"warm_up_work,omitempty"`     // output tokens, or calls of a plain service, until an endpoint is warm
}

// Kind distinguishes model services from plain services.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model" // generates text with a model
	KindPlain Kind = "plain" // any other HTTP service
)

// Delivery is the way that a streamed response reaches the caller.
type Delivery string

// The ways of delivery. With whole delivery, the response is buffered until it
// is complete, so that the call can run again after any failure.
const (
	DeliveryStream Delivery = "stream"
	DeliveryWhole  Delivery = "whole"
)

// Class is a class of work within a model service. A call belongs to the first
// class whose limit is at least its max_tokens.
type Class struct {
	Name      string `json:"name"`
	MaxTokens int    `json:"max_tokens"` // 0 for no limit
	Priority  int    `json:"priority"`   // lower is served first
	QueueMs   int    `json:"queue_ms"`   // maximum wait before the call is refused
}

// NoRepeat marks calls that may run at most once. Path is a pattern of
// segments, in which * matches any one segment and a final ** matches the rest.
type NoRepeat struct {
	Methods []string `json:"methods"`
	Path    string   `json:"path"`
}

// Workspace is a customer with its API key and limits.
type Workspace struct {
	Name      string   `json:"name"`
	KeySHA256 string   `json:"key_sha256"`                    // hex SHA-256 of the bearer key
	Weight    int      `json:"weight,omitempty"`              // for fair queueing between workspaces
	PerSecond float64  `json:"requests_per_second,omitempty"` // 0 for no limit
	TokensPS  float64  `json:"tokens_per_second,omitempty"`   // 0 for no limit
	Services  []string `json:"services,omitempty"`            // empty for all
}

// Defaults of optional fields.
const (
	DefaultMaxBodyBytes = 4 << 20
	DefaultDeadline     = 300 * time.Second
	DefaultKeyHorizon   = 120 * time.Second
	DefaultFloor        = 2
	DefaultConcurrency  = 64
	DefaultWarmUpTokens = 20_000
	DefaultWarmUpCalls  = 100
	DefaultLoadSpacing  = 500 * time.Millisecond
	DefaultMaxQueueTime = 2 * time.Second
)

// BodyLimitBytes returns the largest request body in bytes.
func (s Service) BodyLimitBytes() int { return positive(s.MaxBodyBytes, DefaultMaxBodyBytes) }

// FloorOrDefault returns the concurrency limit of a cold endpoint.
func (s Service) FloorOrDefault() int { return positive(s.Floor, DefaultFloor) }

// ConcurrencyOrDefault returns the concurrency limit of a warm endpoint.
func (s Service) ConcurrencyOrDefault() int { return positive(s.MaxConcurrency, DefaultConcurrency) }

// WarmUp returns the work after which an endpoint is warm: output tokens, or
// calls of a plain service.
func (s Service) WarmUp() int {
	if s.Kind == KindModel {
		return positive(s.WarmUpWork, DefaultWarmUpTokens)
	}
	return positive(s.WarmUpWork, DefaultWarmUpCalls)
}

// LoadSpacing returns the minimum time between the model loads of two engines
// after a change. It limits the load on the weight store.
func (s Service) LoadSpacing() time.Duration {
	return time.Duration(positive(s.LoadSpacingMs, int(DefaultLoadSpacing.Milliseconds()))) * time.Millisecond
}

// Deadline returns the maximum duration of a call.
func (s Service) Deadline() time.Duration { return seconds(s.DeadlineSecs, DefaultDeadline) }

// KeyHorizon returns how long idempotency keys are remembered.
func (s Service) KeyHorizon() time.Duration { return seconds(s.KeyHorizonSecs, DefaultKeyHorizon) }

// Class returns the class of a call by its max_tokens, 0 if the caller set
// none.
func (s Service) Class(maxTokens int) Class {
	for _, c := range s.Classes {
		if c.MaxTokens == 0 || (maxTokens > 0 && maxTokens <= c.MaxTokens) {
			return c
		}
	}
	return Class{Name: "default", QueueMs: int(DefaultMaxQueueTime / time.Millisecond)}
}

// MaxQueueTime returns the maximum time that a call of the class waits.
func (c Class) MaxQueueTime() time.Duration {
	if c.QueueMs <= 0 {
		return DefaultMaxQueueTime
	}
	return time.Duration(c.QueueMs) * time.Millisecond
}

// Repeatable reports whether a call to the service may run more than once.
func (s Service) Repeatable(method, path string) bool {
	for _, rule := range s.NoRepeat {
		if rule.matches(method, path) {
			return false
		}
	}
	return true
}

func (r NoRepeat) matches(method, path string) bool {
	found := false
	for _, m := range r.Methods {
		found = found || m == "*" || strings.EqualFold(m, method)
	}
	return found && matchSegments(segments(r.Path), segments(path))
}

func matchSegments(pattern, path []string) bool {
	for i, p := range pattern {
		if p == "**" {
			return true
		}
		if i >= len(path) || (p != "*" && p != path[i]) {
			return false
		}
	}
	return len(pattern) == len(path)
}

// segments splits a path and ignores empty segments. Otherwise a doubled or
// trailing slash would bypass the rule at a service that ignores such slashes.
func segments(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '/' })
}

// Allows reports whether the workspace may use the service.
func (w Workspace) Allows(service string) bool {
	if len(w.Services) == 0 {
		return true
	}
	for _, s := range w.Services {
		if s == service {
			return true
		}
	}
	return false
}

// QueueWeight returns the weight for fair queueing, at least 1.
func (w Workspace) QueueWeight() int { return max(1, w.Weight) }

// Merge returns a file with the sections of both.
func (f File) Merge(other File) File {
	return File{
		DataCentres: concat(f.DataCentres, other.DataCentres),
		Services:    concat(f.Services, other.Services),
		Workspaces:  concat(f.Workspaces, other.Workspaces),
	}
}

func concat[T any](a, b []T) []T {
	return append(append(make([]T, 0, len(a)+len(b)), a...), b...)
}

func positive(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}

func seconds(v int, fallback time.Duration) time.Duration {
	if v > 0 {
		return time.Duration(v) * time.Second
	}
	return fallback
}
