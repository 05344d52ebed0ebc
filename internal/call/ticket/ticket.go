// Package ticket defines idempotency keys that the system issues. A ticket
// names the only process incarnation that may run the call, so that the call
// cannot run twice during network partitions, restarts or changes of the
// agents.
package ticket

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mimosalock/mimosalock/internal/call/callid"
)

const prefix = "ticket:"

// Ticket is an issued idempotency key.
type Ticket struct {
	callid.ID
	Beat uint64 // the process's beat (see package clock) when the ticket was issued
}

// New returns a ticket for the process that answered a probe at this beat.
func New(dataCentre, host string, incarnation, beat uint64) Ticket {
	return Ticket{ID: callid.New(callid.NewCall(), dataCentre, host, incarnation), Beat: beat}
}

// String returns the text form.
func (t Ticket) String() string {
	return prefix + t.ID.String() + ":" + strconv.FormatUint(t.Beat, 36)
}

// Parse parses the text form.
func Parse(text string) (Ticket, error) {
	rest, ok := strings.CutPrefix(text, prefix)
	head, tail, split := strings.Cut(rest, ":")
	if !ok || !split {
		return Ticket{}, fmt.Errorf("ticket %q: expected %sCALL_ID:BEAT", text, prefix)
	}
	id, err := callid.Parse(head)
	if err != nil {
		return Ticket{}, fmt.Errorf("ticket: %w", err)
	}
	beat, err := strconv.ParseUint(tail, 36, 64)
	if err != nil {
		return Ticket{}, fmt.Errorf("ticket %q: beat: %w", text, err)
	}
	return Ticket{ID: id, Beat: beat}, nil
}
