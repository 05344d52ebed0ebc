package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/router/begun"
)

// Origins finds which version of the software began a stream that this process does not know.
type Origins interface {
	// FindStream asks the other processes. known is false if none can tell.
	FindStream(ctx context.Context, service, callID string) (software string, known bool)
	// CurrentSoftware returns the only version of a service that has served for a while. ok is
	// false if this process cannot know that there was no other.
	CurrentSoftware(service string) (software string, ok bool)
	// OnlySoftware returns the only version of a service that the registry's history holds.
	// ok is false if there were several, or the history does not reach back far enough.
	OnlySoftware(ctx context.Context, service string) (software string, ok bool)
}

// beginningOf returns the version of the software that began the stream which the caller takes
// up. known is false if nobody can tell.
func (s *Server) beginningOf(ctx context.Context, call *desc.Call) (software string, known bool) {
	began := time.Now()
	source := "own"
	if call.Resumes != "" {
		software, known = s.Begun.Find(begun.KeyOf(call.Resumes))
	}
	if !known {
		source = "only_version"
		software, known = s.Origins.CurrentSoftware(call.Service)
	}
	if !known && call.Resumes != "" {
		source = "peers"
		software, known = s.Origins.FindStream(ctx, call.Service, call.Resumes)
	}
	if !known {
		source = "history"
		software, known = s.Origins.OnlySoftware(ctx, call.Service)
	}
	if !known {
		source = "none"
	}
	s.Metrics.CallerResumes.WithLabelValues(source).Inc()
	s.Log.Info("caller_resumes", zap.String("id", call.ID), zap.String("service", call.Service), zap.String("resumes", call.Resumes),
		zap.String("after", call.LastEventID), zap.String("software", software), zap.String("known_from", source), zap.Duration("took", time.Since(began)))
	return software, known
}

// recordBeginning remembers which version of the software writes the first event of a call's
// stream, for callers that take it up: when the call is sent, so that peers know by the time the
// event arrives, and again if another version has written it.
func (s *Server) recordBeginning(call *desc.Call, software string) {
	for _, id := range streamIDs(call) {
		s.Begun.Begin(time.Now(), begun.Stream{Key: begun.KeyOf(id), Service: call.Service, Software: software})
	}
}

// streamIDs returns the IDs of the calls by which callers may name the call's stream.
func streamIDs(call *desc.Call) []string {
	if call.Resumes == "" || call.LastEventID == "" {
		return []string{call.ID}
	}
	return []string{call.ID, call.Resumes}
}
