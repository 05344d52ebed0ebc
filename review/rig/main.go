// Command rig plays the cases of the second review: it starts the gateways as separate
// processes, with a store, workers and callers of its own, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenes are what the cases play, by name. Each returns whether its rule was broken.
var scenes = map[string]func(*bed) bool{}

func main() {
	if len(os.Args) < 3 || os.Args[1] == "case" && len(os.Args) < 5 {
		fmt.Fprintln(os.Stderr, "usage: rig worker JSON | rig case SCENE GATEWAY RECORD")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2])
		return
	}
	os.Exit(runCase(os.Args[2], os.Args[3], os.Args[4]))
}

// runCase plays a case and returns the exit code.
func runCase(name, gateway, record string) (code int) {
	b, err := newBed(gateway, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer b.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		b.close()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if failure := recover(); failure != nil {
			why, ok := failure.(notRun)
			if !ok {
				panic(failure)
			}
			b.note("the case could not run: %s", string(why))
			code = exitNotRun
		}
	}()
	scene := scenes[name]
	if scene == nil {
		panic(notRun("there is no scene " + name))
	}
	if scene(b) {
		b.note("verdict: the rule was broken")
		return exitBroken
	}
	b.note("verdict: the rule held")
	return exitHeld
}
