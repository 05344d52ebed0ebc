package server

import (
	"context"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/guard"
	"github.com/mimosalock/mimosalock/internal/call/memlim"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/entry/relay"
)

// held is the memory that a call counts for. It is used by the connection's goroutine only.
type held struct {
	body     func()   // frees the memory of the body, nil if it does not count
	copies   []func() // of the body
	response func()   // until it was sent
}

// freeBody frees the body and its copies, once the call has ended.
func (h *held) freeBody() {
	if h.body != nil {
		h.body()
	}
	for _, release := range h.copies {
		release()
	}
	h.body, h.copies = nil, nil
}

// free frees all, once the response was sent or the connection is closed.
func (h *held) free() {
	h.freeBody()
	if h.response != nil {
		h.response()
	}
	h.response = nil
}

// heldBy returns the memory that the call of a request counts for.
func (srv *Server) heldBy(c *fiber.Ctx) *held {
	value, _ := srv.callers.Load(c.Context().Conn())
	h, isHeld := value.(*held)
	if !isHeld {
		h = &held{} // the connection is closed
	}
	return h
}

// holdCopy counts a copy of a body until the response was sent, or refuses the call.
func (srv *Server) holdCopy(c *fiber.Ctx, w spec.Workspace, size int) error {
	release, err := srv.bodies.Reserve(size)
	if err != nil {
		return srv.refuseForMemory(c, w)
	}
	h := srv.heldBy(c)
	h.copies = append(h.copies, release)
	return nil
}

// replaceBody makes a copy of the body the one that the call holds.
func (srv *Server) replaceBody(c *fiber.Ctx, w spec.Workspace, size int, copyBody func() []byte) ([]byte, error) {
	release, err := srv.bodies.Reserve(size)
	if err != nil {
		return nil, srv.refuseForMemory(c, w)
	}
	body := copyBody()
	h := srv.heldBy(c)
	if h.body != nil {
		h.body()
	}
	h.body = release
	return body, nil
}

// ownBody returns the body of a request that is forwarded as it is, and counts the message to the
// agent.
func (srv *Server) ownBody(c *fiber.Ctx, w spec.Workspace) ([]byte, error) {
	body := c.BodyRaw()
	if !c.Request().IsBodyStream() && srv.heldBy(c).body == nil {
		body = append([]byte(nil), body...) // fasthttp uses its buffer again
	}
	return body, srv.holdCopy(c, w, len(body))
}

// refuseForMemory returns the error for a call that has no room for its body, and closes a slow
// connection, so that the next call finds room.
func (srv *Server) refuseForMemory(c *fiber.Ctx, w spec.Workspace) error {
	srv.turnAway(c, w, "body_memory", zap.Int64("body_memory", srv.bodies.Used()))
	relieve(c)
	return notRunError(fiber.StatusServiceUnavailable, memlim.ErrFull.Error(), time.Second)
}

// newResponse returns a buffer for the response of a call, whose memory counts until it was sent.
func (srv *Server) newResponse(c *fiber.Ctx) *memlim.Buffer {
	buffer := srv.responses.NewBuffer()
	srv.heldBy(c).response = buffer.Reset
	return buffer
}

// readResponse reads the whole response of a buffered call.
func (srv *Server) readResponse(ctx context.Context, c *fiber.Ctx, w spec.Workspace, s *relay.Session) (*memlim.Buffer, relay.End) {
	response := srv.newResponse(c)
	for {
		switch ev := s.Next(ctx).(type) {
		case relay.Frame:
			if _, err := response.Write(ev.Data); err != nil {
				return response, srv.abortForMemory(c, w, s)
			}
		case relay.Restart:
			response.Reset()
		case relay.End:
			return response, ev
		}
	}
}

const responseFullReason = "the memory for responses is in use"

// abortForMemory ends a call whose response finds no room.
func (srv *Server) abortForMemory(c *fiber.Ctx, w spec.Workspace, s *relay.Session) relay.End {
	srv.refuseResponse(c, w)
	return s.Abort(responseFullReason)
}

// refuseResponse counts a response that finds no room, and closes a slow connection, so that the
// next one finds room.
func (srv *Server) refuseResponse(c *fiber.Ctx, w spec.Workspace) {
	srv.turnAway(c, w, "response_memory", zap.Int64("response_memory", srv.responses.Used()))
	relieve(c)
}

func relieve(c *fiber.Ctx) {
	if conn, isGuarded := c.Context().Conn().(*guard.Conn); isGuarded {
		conn.RelievePort(time.Now())
	}
}

// refusalInterval is the least time between two log lines about refused requests of one reason.
const refusalInterval = time.Second

// refusalLog limits the log lines about refused requests. It is safe for concurrent use.
type refusalLog struct {
	mu   sync.Mutex
	last map[string]time.Time // by reason
	more map[string]int       // refusals since, by reason
}

// due counts a refusal. It returns how many there were since the last line, 0 if none is due.
func (l *refusalLog) due(now time.Time, why string) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last, l.more = map[string]time.Time{}, map[string]int{}
	}
	l.more[why]++
	if now.Sub(l.last[why]) < refusalInterval {
		return 0
	}
	count, l.last[why], l.more[why] = l.more[why], now, 0
	return count
}

// turnAway counts a request that is refused for what it holds or how it is encoded, and logs it.
func (srv *Server) turnAway(c *fiber.Ctx, w spec.Workspace, why string, input zap.Field) {
	srv.relay.Metrics.TurnedAway.WithLabelValues("callers", why).Inc()
	if count := srv.refusals.due(time.Now(), why); count > 0 {
		srv.log.Warn("request_turned_away", zap.String("why", why), zap.String("workspace", w.Name), zap.String("sender", c.IP()),
			zap.Int("count", count), zap.Int("content_length", c.Request().Header.ContentLength()), input)
	}
}
