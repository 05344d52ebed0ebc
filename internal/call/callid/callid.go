// Package callid defines the ID of an attempt to run a call. The ID names the
// data centre, host and process incarnation that hold the response, so that any
// entry can find it.
package callid

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// ID identifies one attempt. Its text form is
// call.data_centre.host.incarnation, with the incarnation in base 36.
type ID struct {
	Call        string // 16 hexadecimal digits, the same for all attempts of a call
	DataCentre  string
	Host        string
	Incarnation uint64 // identifies one start of the process
}

// NewCall returns a random value for ID.Call.
func NewCall() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// New returns the ID of an attempt to run the call on the given process.
func New(call, dataCentre, host string, incarnation uint64) ID {
	return ID{Call: call, DataCentre: dataCentre, Host: host, Incarnation: incarnation}
}

// String returns the text form.
func (id ID) String() string {
	return id.Call + "." + id.DataCentre + "." + id.Host + "." + strconv.FormatUint(id.Incarnation, 36)
}

// EventID returns the event ID of one frame of the response, for Last-Event-ID.
func (id ID) EventID(index uint64) string {
	return id.String() + "/" + strconv.FormatUint(index, 10)
}

// Parse parses the text form.
func Parse(text string) (ID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[1] == "" || parts[2] == "" {
		return ID{}, fmt.Errorf("call ID %q: expected call.data_centre.host.incarnation", text)
	}
	if raw, err := hex.DecodeString(parts[0]); err != nil || len(raw) != 8 {
		return ID{}, fmt.Errorf("call ID %q: expected 16 hexadecimal digits first", text)
	}
	inc, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return ID{}, fmt.Errorf("call ID %q: incarnation: %w", text, err)
	}
	return ID{Call: parts[0], DataCentre: parts[1], Host: parts[2], Incarnation: inc}, nil
}

// ParseEventID parses an event ID, as received in Last-Event-ID, into the
// attempt's ID and the index of the frame.
func ParseEventID(text string) (ID, uint64, error) {
	head, tail, ok := strings.Cut(text, "/")
	if !ok {
		return ID{}, 0, fmt.Errorf("event ID %q: expected call ID and index", text)
	}
	id, err := Parse(head)
	if err != nil {
		return ID{}, 0, err
	}
	index, err := strconv.ParseUint(tail, 10, 62)
	if err != nil {
		return ID{}, 0, fmt.Errorf("event ID %q: index: %w", text, err)
	}
	return id, index, nil
}
