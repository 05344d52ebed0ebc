package serve

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/callst"
	"github.com/mimosalock/mimosalock/internal/call/desc"
	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
	"github.com/mimosalock/mimosalock/internal/router/begun"
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

// resumeByCaller serves a call that takes up a stream after event 9, which began with a call.
func (h *harness) resumeByCaller(ctx context.Context, resumes string) Result {
	now := time.Now()
	return h.server.Serve(ctx, Input{Service: h.engineService(), Sink: h.fakeSink, Call: &desc.Call{
		ID: "again", Kind: desc.KindResumableStream, Service: "s", Route: "r", MaxAttempts: 2, Arrived: now, Deadline: now.Add(10 * time.Second),
		FirstResponseTarget: time.Second, EventGapTarget: 180 * time.Millisecond, PromptTokens: 1000, MaxOutputTokens: 400, LastEventID: "9", Resumes: resumes,
	}})
}

// Guards against a stream that a caller takes up going on at another version than the one that
// began it, and against one being refused that can go on.
func TestResumeByCallerStaysAtVersion(t *testing.T) {
	began := func(h *harness, id, software string) {
		h.server.Begun.Put(time.Now(), begun.KeyOf(id), software)
	}
	for _, test := range []struct {
		name     string
		resumes  string
		prepare  func(h *harness)
		outcome  callst.Outcome
		reason   Reason
		versions []string
	}{
		{"known here", "first", func(h *harness) { began(h, "first", "v2") }, callst.OutcomeComplete, ReasonNone, []string{"v2"}},
		{"known to peers", "first", func(h *harness) { h.server.Origins = fakeOrigins{peers: "v2"} }, callst.OutcomeComplete, ReasonNone, []string{"v2"}},
		{"one version in the history", "first", func(h *harness) { h.server.Origins = fakeOrigins{history: "v1"} }, callst.OutcomeComplete, ReasonNone, []string{"v1"}},
		{"no call named, one version in the history", "", func(h *harness) { h.server.Origins = fakeOrigins{history: "v1"} }, callst.OutcomeComplete, ReasonNone, []string{"v1"}},
		{"known to nobody", "first", func(*harness) {}, callst.OutcomeNotRun, ReasonUnknownVersion, nil},
		{"no call named", "", func(h *harness) { began(h, "first", "v2"); h.server.Origins = fakeOrigins{peers: "v2"} }, callst.OutcomeNotRun, ReasonUnknownVersion, nil},
		{"its version has left", "first", func(h *harness) { began(h, "first", "v0") }, callst.OutcomeNotRun, ReasonNoEndpoint, nil},
		{"its version drains", "first", func(h *harness) {
			began(h, "first", "v2")
			h.scheduler.Put(time.Now(), endpt.Endpoint{ID: "e2", StartedMs: 1, Service: "s", Software: "v2", Address: "e2:1", DataCentre: "a1", Region: "a", Slots: 4, Draining: true, Revision: 9})
		}, callst.OutcomeNotRun, ReasonNoEndpoint, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newVersionHarness(streamReply(10, 30))
				test.prepare(h)
				began := time.Now()
				result := h.resumeByCaller(t.Context(), test.resumes)
				if versions := h.versionsSent(); result.Outcome != test.outcome || result.Reason != test.reason || !slices.Equal(versions, test.versions) {
					t.Errorf("%+v at %v, want %v for %v at %v", result, versions, test.outcome, test.reason, test.versions)
				}
				if test.outcome == callst.OutcomeNotRun && (time.Since(began) > 0 || result.RetryAfter == 0) {
					t.Errorf("refused after %v with Retry-After %v, want it at once with one", time.Since(began), result.RetryAfter)
				}
				expectNoLoad(t, h)
			})
		})
	}
}

// Guards against chains of resumes that end at another version: the call that takes a stream up
// may break off too, and its caller may name either call.
func TestResumeOfResume(t *testing.T) {
	for _, resumes := range []string{"first", "again"} {
		t.Run(resumes, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cut := streamReply(10, 5)
				cut.breaks = true
				h := newVersionHarness(cut, reply{status: 500}, streamReply(10, 30))
				h.server.Begun.Put(time.Now(), begun.KeyOf("first"), "v1")
				h.resumeByCaller(t.Context(), "first")
				h.server.Begun.TakeNews()
				time.Sleep(5 * time.Second)
				h.resumeByCaller(t.Context(), resumes)
				for _, v := range h.versionsSent() {
					if v != "v1" {
						t.Errorf("sent to %v, want v1 only", h.versionsSent())
					}
				}
			})
		})
	}
}

// A stream is known before its caller has the first event, while it runs and afterwards.
func TestBeginningIsRecordedBeforeFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVersionHarness(streamReply(0, 40))
		h.serve(t.Context(), desc.KindResumableStream, 1)
		if software, found := h.server.Begun.Find(begun.KeyOf("id")); !found || software != h.versionsSent()[0] {
			t.Errorf("version %q, found %v, want %q", software, found, h.versionsSent()[0])
		}
		if len(h.server.Begun.Running()) > 0 {
			t.Error("the stream still counts as running")
		}
	})
}
