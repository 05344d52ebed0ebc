package serve

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// newVersionHarness has endpoints of two versions: e1, e3 of v1 and e2 of v2.
func newVersionHarness(replies ...reply) *harness {
	h := newHarness(replies...)
	for id, software := range map[string]string{"e1": "v1", "e2": "v2", "e3": "v1"} {
		h.scheduler.Put(time.Now(), endpt.Endpoint{ID: id, StartedMs: 1, Service: "s", Software: software, Address: id + ":1", DataCentre: "a1", Region: "a", Slots: 4})
	}
	return h
}

func (h *harness) versionsSent() (out []string) {
	sent, _ := h.sends()
	for _, entry := range sent {
		id, _, _ := strings.Cut(entry, " ")
		out = append(out, map[string]string{"e1": "v1", "e2": "v2", "e3": "v1"}[id])
	}
	return out
}

// Guards against a stream that goes on at another version of the software than the one whose
// events its caller has, by a retry or by a move; before the first event any version will do.
func TestStreamStaysAtVersion(t *testing.T) {
	cut, cutAtHead := streamReply(0, 10), reply{status: 200, wait: 10 * time.Millisecond, breaks: true}
	cut.breaks = true
	for _, test := range []struct {
		name     string
		kind     desc.Kind
		replies  []reply
		without  string // endpoint that is not listed
		leaves   bool   // the first endpoint is leaving
		outcome  callst.Outcome
		versions []string // of the endpoints that it is sent to
	}{
		{"breaks off", desc.KindResumableStream, []reply{cut, streamReply(10, 30)}, "", false, callst.OutcomeComplete, []string{"v1", "v1"}},
		{"breaks off, no other of its version", desc.KindResumableStream, []reply{cut, streamReply(10, 30)}, "e3", false, callst.OutcomeInterrupted, []string{"v1"}},
		{"breaks off before its first event", desc.KindResumableStream, []reply{cutAtHead, streamReply(0, 40)}, "e3", false, callst.OutcomeComplete, []string{"v1", "v2"}},
		{"leaves", desc.KindStream, []reply{streamReply(0, 40), streamReply(10, 30)}, "", true, callst.OutcomeComplete, []string{"v1", "v1"}},
		{"leaves, no other of its version", desc.KindStream, []reply{streamReply(0, 40), streamReply(10, 30)}, "e3", true, callst.OutcomeComplete, []string{"v1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newVersionHarness(test.replies...)
				h.moveTimes = idleLinkTimes
				h.scheduler.Remove(time.Now(), "e2", time.Time{}) // so that the first send is to v1
				if test.without != "" {
					h.scheduler.Remove(time.Now(), test.without, time.Time{})
				}
				time.AfterFunc(time.Millisecond, func() {
					h.scheduler.Put(time.Now(), endpt.Endpoint{ID: "e2", StartedMs: 2, Service: "s", Software: "v2", Address: "e2:1", DataCentre: "a1", Region: "a", Slots: 4})
				})
				if test.leaves {
					time.AfterFunc(510*time.Millisecond, h.removeFirstEndpoint)
				}
				result := h.serve(t.Context(), test.kind, 2)
				if versions := h.versionsSent(); result.Outcome != test.outcome || !slices.Equal(versions, test.versions) {
					t.Errorf("%+v at %v, want %v at %v", result, versions, test.outcome, test.versions)
				}
				expectNoLoad(t, h)
			})
		})
	}
}
