package bundle

import "fmt"

// Kind classifies an Error.
type Kind uint8

// The kinds of Error.
const (
	KindInvalid    Kind = iota // malformed data, or a file that cannot be read or written
	KindIncomplete             // a shard is missing
	KindTooLarge               // a value exceeds MaxValueBytes
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func newError(op string, kind Kind, err error) *Error { return &Error{Op: op, Kind: kind, Err: err} }

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("bundle: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
