package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosalock/mimosalock/internal/wire/peerpb"
)

// Guards against an endpoint that is used before the time at which it has said that it wants
// calls again, because that was forgotten.
func TestClosedEndpoint(t *testing.T) {
	const wait, boot = 10 * time.Second, 7
	cases := []struct {
		name  string
		after func(r *testRunner, run *Run)
		want  time.Duration // from then on, 0 if the endpoint is used
	}{
		{"at once", func(*testRunner, *Run) {}, wait},
		{"shortly before the time", func(*testRunner, *Run) { time.Sleep(wait - time.Millisecond) }, time.Millisecond},
		{"at the time", func(*testRunner, *Run) { time.Sleep(wait) }, 0},
		{"a shorter time named later", func(r *testRunner, run *Run) { r.closeFor(run, time.Second) }, wait},
		{"a longer time named later", func(r *testRunner, run *Run) { r.closeFor(run, 2*wait) }, 2 * wait},
		{"a health check in between", func(r *testRunner, _ *Run) { r.recordHealth(true, boot) }, wait},
		{"unreachable in between", func(r *testRunner, _ *Run) {
			for range maxHealthFailures {
				r.recordHealth(false, 0)
			}
			r.recordHealth(true, boot)
		}, wait},
		{"a configuration in between", func(r *testRunner, _ *Run) { r.publish(true); r.publish(false) }, wait},
		{"the engine restarted", func(r *testRunner, _ *Run) { r.recordHealth(true, boot+1) }, 0},
		{"the engine restarted, and a late word of the one before", func(r *testRunner, run *Run) {
			r.recordHealth(true, boot+1)
			r.closeFor(run, wait)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRunner(t)
				r.health.bootID = boot
				run := newRun(r.offer(), nil)
				run.bootID = boot
				r.closeFor(run, wait)
				c.after(r, run)
				r.lastPauseCheck = time.Time{}
				reply := r.Probe(&peerpb.ProbeRequest{Service: service})
				if got := time.Duration(reply.RetryAfterMs) * time.Millisecond; reply.Admits != (c.want == 0) || got != c.want {
					t.Errorf("probe: admits %v, retry after %v; want %v, %v (%s)", reply.Admits, got, c.want == 0, c.want, reply.Reason)
				}
				_, refused := r.Offer(t.Context(), r.offer())
				if got := ms(refused.GetRetryAfterMs()); (refused == nil) != (c.want == 0) || got != c.want {
					t.Errorf("offer: %v, want retry after %v", refused, c.want)
				}
			})
		})
	}
}

// Guards against calls that wait behind an endpoint that wants none for a while.
func TestClosedEndpointRefusesWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRunner(t)
		r.occupy()
		run := r.expectAccepted(r.offer())
		r.closeFor(newRun(r.offer(), nil), 3*time.Second)
		if refusal := run.Refusal(); refusal.GetReason() != closedReason || ms(refusal.GetRetryAfterMs()) != 3*time.Second {
			t.Errorf("refusal %v", refusal)
		}
	})
}
