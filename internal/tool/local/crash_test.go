package local_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/stand/engsrv"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

const crashMarker = "crashes engines"

// Guards against calls that take down one engine after the other by a part of their prompts.
func TestPromptThatCrashesEngines(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "whole response": false} {
		for _, entries := range []int{2, 6} {
			t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
				t.Parallel()
				testCrashesBounded(t, entries, stream)
			})
		}
	}
}

// testCrashesBounded makes calls that share a message which crashes engines, and sound
// ones in between. Once engines have crashed five times, at most three more submissions
// of calls that start later may reach engines. Sound calls must complete.
func testCrashesBounded(t *testing.T, entries int, stream bool) {
	r := start(t, local.Options{Entries: entries, Engines: 6, AdjustEngine: func(c *engsrv.Config) {
		c.CrashMarker, c.CrashDowntime = crashMarker, time.Second
	}})
	const calls, enoughCrashes, maxFurther = 10, 5, 3
	baseline := -1 // submissions when the first call after the fifth crash started
	for i := range calls {
		addr := r.Entries()[i%entries].CallerAddr
		submitted, crashes := crashCounts(r)
		if crashes >= enoughCrashes && baseline < 0 {
			baseline = submitted
		}
		status := generate(t, addr, stream, "rules that "+crashMarker, fmt.Sprint("plan ", i, " len=20"))
		after, crashesAfter := crashCounts(r)
		t.Logf("call %d: status %d, %d engines got it, %d crashes in all", i, status, after-submitted, crashesAfter)
		if status == 200 {
			t.Errorf("call %d: status 200 although engines crash under it", i)
		}
		expectEnginesBack(t, r)
		if status := generate(t, addr, stream, "sound rules", fmt.Sprint("plan ", i, " len=20")); status != 200 {
			t.Errorf("sound call %d: status %d", i, status)
		}
	}
	submitted, crashes := crashCounts(r)
	if crashes == 0 {
		t.Error("no engine crashed")
	}
	if baseline < 0 {
		return
	}
	if further := submitted - baseline; further > maxFurther {
		t.Errorf("%d crashes; after the first %d, engines got %d further submissions of new calls, want at most %d",
			crashes, enoughCrashes, further, maxFurther)
	}
}

// generate makes a call with two messages and returns the status of the response.
func generate(t *testing.T, addr string, stream bool, first, last string) int {
	t.Helper()
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, err := json.Marshal(map[string]any{
		"model": local.ModelName, "stream": stream, "messages": []message{{"system", first}, {"user", last}},
	})
	if err != nil {
		t.Fatal(err)
	}
	resp, _ := request(t, "POST", "http://"+addr+"/v1/chat/completions", local.Key, string(body), nil)
	return resp.StatusCode
}

// crashCounts returns how many submissions of prompts with the crash marker engines got,
// and how often engines crashed, in total.
func crashCounts(r *local.Fleet) (submitted, crashes int) {
	for _, n := range r.Engines() {
		s, c, _ := n.Engine.CrashCounts()
		submitted += s
		crashes += c
	}
	return submitted, crashes
}

// expectEnginesBack waits until all engines listen and their agents accept calls.
func expectEnginesBack(t *testing.T, r *local.Fleet) {
	t.Helper()
	eventually(t, "all engines are back", func() bool {
		for _, n := range r.Engines() {
			if _, _, down := n.Engine.CrashCounts(); down || n.Agent.Runner().State().ClosedReason != "" {
				return false
			}
		}
		return true
	})
}
