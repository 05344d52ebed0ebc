package httpc

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of Error.
const (
	KindUnsent    Kind = iota // the connection could not be opened, so nothing was sent
	KindMaybeSent             // the endpoint may have received the request
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	// Hangup is the end of an exchange that the endpoint may still work on, nil if there is
	// nothing to wait for.
	Hangup *Hangup
}

func newError(op string, kind Kind, err error) *Error { return &Error{Op: op, Kind: kind, Err: err} }

// Error describes the failure. Agents send the text to entries, which pass it on to
// callers. It keeps this package's former name, pipe.
func (e *Error) Error() string { return fmt.Sprintf("pipe: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
