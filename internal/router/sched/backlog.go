package sched

import "time"

// Engines read prompts one after another. Calls that wait for that wait at the gateway instead,
// where more urgent ones pass them, and where they may go to another engine and have not run.

// reads reports whether an endpoint with a load is expected to have read the call's prompt, and
// those before it, in time. A prompt that is longer than the limit goes to an engine that has
// nothing else to read.
func (r Request) reads(load Load) bool {
	return r.MaxUnreadTokens <= 0 || load.PrefillTokens <= 0 || load.PrefillTokens+r.PromptTokens <= r.MaxUnreadTokens
}

// Read returns the prompt tokens that the endpoint had to read when the call was placed and the
// time since then. ok is false if other prompts were before the call's own: what is known of
// those may be out of date.
func (l *Lease) Read(now time.Time) (tokens int, took time.Duration, ok bool) {
	return l.request.PromptTokens, now.Sub(l.placedAt), l.unread == l.request.PromptTokens
}
