// Command standin runs stand-ins (fakes) of the systems around mimosalock: engines,
// plain services, the platform and the weight store.
package main

import (
	"os"

	"github.com/mimosalock/mimosalock/internal/node/cmds"
)

func main() {
	os.Exit(cmds.RunStandin(os.Args[1:], os.Stdout, os.Stderr))
}
