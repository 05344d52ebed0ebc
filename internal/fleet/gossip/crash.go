package gossip

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/router/blame"
)

// A process contacts its neighbours within pushInterval of hearing of a crash.
const pushInterval = 100 * time.Millisecond

// pushCrashes contacts the neighbours whenever there is news about crashes.
func (n *Node) pushCrashes(ctx context.Context) {
	ticker := time.NewTicker(pushInterval)
	defer ticker.Stop()
	pushed := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if _, state := n.blame.Report(now); state != pushed {
				pushed = state
				n.push(ctx)
			}
		}
	}
}

// encodeCrashes returns what peers need to know about crashes, nil if there were none.
func (n *Node) encodeCrashes() []byte {
	if n.blame == nil {
		return nil
	}
	r, _ := n.blame.Report(time.Now())
	if len(r.Crashes) == 0 {
		return nil
	}
	return blame.Encode(r, blame.MaxReportBytes)
}

func (n *Node) mergeCrashes(from string, raw []byte) {
	if n.blame == nil || len(raw) == 0 {
		return
	}
	r, err := blame.Decode(raw)
	if err != nil {
		n.log.Warn("peer_report_invalid", zap.String("peer", from), zap.Error(err))
		return
	}
	n.blame.Merge(time.Now(), r)
}
