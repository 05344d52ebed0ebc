package server

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callid"
	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
)

// eventWriter writes a streamed response as server-sent events.
type eventWriter struct {
	w            *bufio.Writer
	conn         net.Conn
	writeTimeout time.Duration
	id           callid.ID
	idPrefix     []byte // "id: ATTEMPT/", the first part of the id line of each event
	nextIndex    uint64 // of the next frame, part of its event ID
}

// run writes events until the response ends or the caller has disconnected, and
// returns the number of frames written. Each frame counts as one output token.
func (ew *eventWriter) run(ctx context.Context, s *relay.Session, first relay.Event) int {
	ew.nextIndex = s.Relayed()
	if _, ok := first.(relay.Frame); ok {
		ew.nextIndex-- // Relayed already counts first
	}
	firstIndex := ew.nextIndex
	for ev := first; ; ev = s.Next(ctx) {
		switch ev := ev.(type) {
		case relay.Frame:
			ew.writeFrame(ev)
		case relay.Restart: // only occurs in buffered calls
		case relay.End:
			ew.writeEnd(ev, s.Attempt())
			_ = ew.flush() // the call has ended, so a failure changes nothing
			return int(ew.nextIndex - firstIndex)
		}
		if ew.flush() != nil {
			return int(ew.nextIndex - firstIndex)
		}
	}
}

// flush sends the buffered data. It fails if the caller does not accept it within
// writeTimeout.
func (ew *eventWriter) flush() error {
	if err := ew.conn.SetWriteDeadline(time.Now().Add(ew.writeTimeout)); err != nil {
		return err
	}
	return ew.w.Flush()
}

// writeFrame writes a frame as one event. Errors are ignored here, because the
// bufio.Writer returns its first error from Flush.
func (ew *eventWriter) writeFrame(f relay.Frame) {
	if f.ID != ew.id || ew.idPrefix == nil {
		ew.id = f.ID
		ew.idPrefix = []byte("id: " + f.ID.String() + "/")
	}
	_, _ = ew.w.Write(ew.idPrefix)
	_, _ = ew.w.Write(strconv.AppendUint(ew.w.AvailableBuffer(), ew.nextIndex, 10))
	_, _ = ew.w.WriteString("\ndata: ")
	_, _ = ew.w.Write(f.Data)
	_, _ = ew.w.WriteString("\n\n")
	ew.nextIndex++
}

// writeDone writes the event that ends a complete response in the OpenAI API.
func (ew *eventWriter) writeDone() { _, _ = ew.w.WriteString("data: [DONE]\n\n") }

// writeEnd writes the last event: [DONE] for a complete response, otherwise an error
// event, so that no caller mistakes the response for complete.
func (ew *eventWriter) writeEnd(e relay.End, id callid.ID) {
	if e.Outcome == callst.OutcomeComplete {
		ew.writeDone()
		return
	}
	body, err := json.Marshal(endError(e).body(id.String()))
	if err != nil {
		return // without [DONE], the stream is still recognized as incomplete
	}
	_, _ = ew.w.WriteString("event: error\ndata: ")
	_, _ = ew.w.Write(body)
	_, _ = ew.w.WriteString("\n\n")
}
