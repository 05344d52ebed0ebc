package serve

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/mimosalock/mimosalock/internal/call/event"
)

// position is how far a caller has received the response to a streaming call. It decides
// which response, and which events of it, may follow.
type position struct {
	begun   bool   // the caller has the beginning of a response
	lastID  string // of the last event, or the one that the caller named; empty before the first
	seq     int64  // lastID as a number, -1 if it is not one
	unknown bool   // the last event has no numeric ID, so that no other source can go on after it
}

func newPosition(lastID string) position {
	seq, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		seq = -1
	}
	return position{lastID: lastID, seq: seq}
}

// withBegin returns the position after the head of a response.
func (p position) withBegin() position {
	p.begun = true
	return p
}

// withEvent returns the position after an event.
func (p position) withEvent(e event.Event) position {
	if e.Comment {
		return p.withBegin()
	}
	next := newPosition(e.ID).withBegin()
	next.unknown = next.seq < 0
	return next
}

// classify returns the verdict on a response to a send that goes on from here, or on an
// error. Only an event stream is read event by event, and only one can continue a response
// that has begun.
func (p position) classify(resp *Response, err error) verdict {
	v := classify(resp, err)
	switch {
	case v != verdictGood || isEventStream(resp):
		return v
	case p.begun:
		return verdictUnfit
	}
	return verdictWhole
}

// isEventStream reports whether the body of a valid response is a stream of events. One
// without a content type counts as such on a streaming route.
func isEventStream(resp *Response) bool {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return resp.Status == http.StatusOK && (mediaType == "" || strings.EqualFold(mediaType, "text/event-stream"))
}

// errNotContinued is the error of a source that does not go on at the position.
var errNotContinued = errors.New("the response does not continue the stream")

// continuation reads the events of a source that goes on from a position.
type continuation struct {
	events    *event.Reader
	at        position // after the last event that was returned
	joins     bool     // no event was returned yet: the next one must be the one after the position
	continues bool     // joins, and another source began the response
}

func newContinuation(body io.Reader, at position) *continuation {
	return &continuation{events: event.New(body), at: at, joins: true, continues: at.begun}
}

// next returns the next event that the caller has not received yet, and the position after
// it. It returns io.EOF only at the end of the stream: a source that continues a response
// without an event of its own does not show that there are no more.
func (c *continuation) next() (event.Event, position, error) {
	for {
		e, err := c.events.Next()
		at := c.at.withEvent(e)
		switch {
		case errors.Is(err, io.EOF) && c.continues:
			return e, c.at, fmt.Errorf("%w: it ended without an event after %q", errNotContinued, c.at.lastID)
		case err != nil:
			return e, c.at, err
		case e.Comment && c.continues, !e.Comment && at.seq >= 0 && at.seq <= c.at.seq:
			continue
		case c.continues && at.unknown, c.joins && c.at.seq >= 0 && at.seq > c.at.seq+1:
			return e, c.at, fmt.Errorf("%w: event %q after %q", errNotContinued, at.lastID, c.at.lastID)
		}
		c.at, c.joins, c.continues = at, c.joins && e.Comment, false
		return e, at, nil
	}
}
