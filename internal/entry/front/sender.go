package front

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

// eventWriter writes a streamed answer as server-sent events.
type eventWriter struct {
	w            *bufio.Writer
	conn         net.Conn
	writeTimeout time.Duration
	id           callid.ID
	idPrefix     []byte // "id: CALL/" of the present attempt
	nextIndex    uint64
}

// run writes events until the answer ends or the caller is gone, and returns
// the number of frames written.
func (o *eventWriter) run(ctx context.Context, s *relay.Session, first relay.Event) int {
	o.nextIndex = s.Relayed()
	if _, ok := first.(relay.Frame); ok {
		o.nextIndex--
	}
	from := o.nextIndex
	for ev := first; ; ev = s.Next(ctx) {
		switch ev := ev.(type) {
		case relay.Frame:
			o.writeFrame(ev)
		case relay.Restart: // only of a held call
		case relay.End:
			o.writeEnd(ev, s.Attempt())
			_ = o.flush() // the caller may be gone; the call is over either way
			return int(o.nextIndex - from)
		}
		if o.flush() != nil {
			return int(o.nextIndex - from)
		}
	}
}

// flush sends what was written. A caller that takes nothing for the slow time
// is gone.
func (o *eventWriter) flush() error {
	if err := o.conn.SetWriteDeadline(time.Now().Add(o.writeTimeout)); err != nil {
		return err
	}
	return o.w.Flush()
}

// writeFrame writes one event. A bufio.Writer keeps its first error for flush.
func (o *eventWriter) writeFrame(f relay.Frame) {
	if f.ID != o.id || o.idPrefix == nil {
		o.id = f.ID
		o.idPrefix = []byte("id: " + f.ID.String() + "/")
	}
	_, _ = o.w.Write(o.idPrefix)
	_, _ = o.w.Write(strconv.AppendUint(o.w.AvailableBuffer(), o.nextIndex, 10))
	_, _ = o.w.WriteString("\ndata: ")
	_, _ = o.w.Write(f.Data)
	_, _ = o.w.WriteString("\n\n")
	o.nextIndex++
}

func (o *eventWriter) writeDone() { _, _ = o.w.WriteString("data: [DONE]\n\n") }

// writeEnd writes the last event: [DONE] for a complete answer, else an error that
// no client can take for a clean end.
func (o *eventWriter) writeEnd(e relay.End, id callid.ID) {
	if e.Outcome == callst.OutcomeComplete {
		o.writeDone()
		return
	}
	body, err := json.Marshal(endError(e).body(id.String()))
	if err != nil {
		return // without [DONE] the stream still ends as broken
	}
	_, _ = o.w.WriteString("event: error\ndata: ")
	_, _ = o.w.Write(body)
	_, _ = o.w.WriteString("\n\n")
}
