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

// sender writes a streamed answer as server-sent events.
type sender struct {
	w    *bufio.Writer
	conn net.Conn
	slow time.Duration
	id   callid.ID
	lead []byte // "id: CALL/" of the present attempt
	sent uint64
}

// run writes events until the answer ends or the caller is gone, and returns
// the number of frames written.
func (o *sender) run(ctx context.Context, s *relay.Session, first relay.Event) int {
	o.sent = s.Relayed()
	if _, ok := first.(relay.Frame); ok {
		o.sent--
	}
	from := o.sent
	for ev := first; ; ev = s.Next(ctx) {
		switch ev := ev.(type) {
		case relay.Frame:
			o.frame(ev)
		case relay.Restart: // only of a held call
		case relay.End:
			o.end(ev, s.Attempt())
			_ = o.flush() // the caller may be gone; the call is over either way
			return int(o.sent - from)
		}
		if o.flush() != nil {
			return int(o.sent - from)
		}
	}
}

// flush sends what was written. A caller that takes nothing for the slow time
// is gone.
func (o *sender) flush() error {
	if err := o.conn.SetWriteDeadline(time.Now().Add(o.slow)); err != nil {
		return err
	}
	return o.w.Flush()
}

// frame writes one event. A bufio.Writer keeps its first error for flush.
func (o *sender) frame(f relay.Frame) {
	if f.ID != o.id || o.lead == nil {
		o.id = f.ID
		o.lead = []byte("id: " + f.ID.String() + "/")
	}
	_, _ = o.w.Write(o.lead)
	_, _ = o.w.Write(strconv.AppendUint(o.w.AvailableBuffer(), o.sent, 10))
	_, _ = o.w.WriteString("\ndata: ")
	_, _ = o.w.Write(f.Data)
	_, _ = o.w.WriteString("\n\n")
	o.sent++
}

func (o *sender) done() { _, _ = o.w.WriteString("data: [DONE]\n\n") }

// end writes the last event: [DONE] for a complete answer, else an error that
// no client can take for a clean end.
func (o *sender) end(e relay.End, id callid.ID) {
	if e.Outcome == callst.OutcomeComplete {
		o.done()
		return
	}
	body, err := json.Marshal(ended(e).body(id.String()))
	if err != nil {
		return // without [DONE] the stream still ends as broken
	}
	_, _ = o.w.WriteString("event: error\ndata: ")
	_, _ = o.w.Write(body)
	_, _ = o.w.WriteString("\n\n")
}
