// Command loadgen measures mimosalock: its capacity, its admission and routing
// policies, its recovery and its behaviour under faults.
package main

import (
	"os"

	"github.com/mimosalock/mimosalock/internal/node/cmds"
)

func main() {
	os.Exit(cmds.RunLoadgen(os.Args[1:], os.Stdout, os.Stderr))
}
