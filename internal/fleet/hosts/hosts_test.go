package hosts

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/fleet/roster"
	"github.com/mimosalock/mimosalock/internal/ops/audit"
)

func FuzzApplyResponse(f *testing.F) {
	f.Add([]byte(`{"revision":2,"hosts":[{"host":"a","role":"agent","service":"s","state":"leaving"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		members := roster.New(audit.New("test", zap.NewNop()))
		members.Update(roster.Version{Revision: 1}, []roster.Member{{Host: "known", Role: roster.RoleAgent}})
		w := New("127.0.0.1:1", time.Second, members, zap.NewNop())
		if _, err := w.applyResponse(body); err != nil && len(members.All()) != 1 {
			t.Fatalf("rejected host list changed the roster: %q", body)
		}
	})
}
