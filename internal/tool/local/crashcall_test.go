package local_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/mimosalock/mimosalock/internal/stand/engsrv"
	"github.com/mimosalock/mimosalock/internal/tool/local"
)

// Guards against one call, sent again and again without parts that calls share, taking down
// one engine after the other (incident crashing-call, in the path of entry and agent).
func TestCallThatCrashesEngines(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "whole response": false} {
		for _, entries := range []int{2, 6} {
			t.Run(fmt.Sprintf("%s, %d entries", name, entries), func(t *testing.T) {
				t.Parallel()
				r := start(t, local.Options{Entries: entries, Engines: 6, AdjustEngine: func(c *engsrv.Config) {
					c.CrashMarker, c.CrashDowntime = crashMarker, time.Second
				}})
				const calls, knownCrashes, maxFurther = 8, 3, 3
				baseline := -1 // submissions when the first call after the third crash started
				for i := range calls {
					addr := r.Entries()[i%entries].CallerAddr
					if submitted, crashes := crashCounts(r); crashes >= knownCrashes && baseline < 0 {
						time.Sleep(time.Second) // until the other entries know
						baseline = submitted
					}
					if status := complete(t, addr, stream, "a plan that "+crashMarker); status == 200 {
						t.Errorf("call %d: status 200 although engines crash under it", i)
					}
					expectEnginesBack(t, r)
					if status := complete(t, addr, stream, fmt.Sprint("plan ", i, " len=20")); status != 200 {
						t.Errorf("sound call %d: status %d", i, status)
					}
				}
				submitted, crashes := crashCounts(r)
				t.Logf("%d crashes, %d submissions, %d until the third crash", crashes, submitted, baseline)
				if baseline < 0 || submitted-baseline > maxFurther {
					t.Errorf("%d crashes; engines got %d submissions after the third, want at most %d", crashes, submitted-baseline, maxFurther)
				}
			})
		}
	}
}

// complete makes a call with a single message and returns the status of the response.
func complete(t *testing.T, addr string, stream bool, message string) int {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": local.ModelName, "stream": stream, "messages": []map[string]string{{"role": "user", "content": message}},
	})
	if err != nil {
		t.Fatal(err)
	}
	resp, _ := request(t, "POST", "http://"+addr+"/v1/chat/completions", local.Key, string(body), nil)
	return resp.StatusCode
}
