package hosts

import (
	"strings"
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

// Guards against one odd row that keeps a process from following the list of hosts (report of
// another operator).
func TestOddRows(t *testing.T) {
	const sound = `{"host":"a","role":"agent","service":"s","state":"ready"}`
	for name, odd := range map[string]string{
		"a number for a name": `{"host":7,"role":"agent"}`,
		"a number too large":  `{"host":"b","role":1e999}`,
		"a list":              `[1]`,
		"null":                `null`,
		"no name":             `{"role":"agent"}`,
		"nested":              strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"a nested field":      `{"host":{"a":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + `}}`,
		"brackets in a text":  `{"host":["[[{\\\"{{"],"role":"]]"}`,
	} {
		t.Run(name, func(t *testing.T) {
			members := roster.New(audit.New("test", zap.NewNop()))
			w := New("127.0.0.1:1", time.Second, members, zap.NewNop())
			if _, err := w.applyResponse([]byte(`{"revision":2,"hosts":[` + odd + `,` + sound + `]}`)); err != nil {
				t.Fatal(err)
			}
			if all := members.All(); len(all) != 1 || all[0].Host != "a" {
				t.Errorf("members %+v, want the sound one", all)
			}
		})
	}
}
