// Command mimosalock runs entries, agents and the tools for operators.
package main

import (
	"os"

	"github.com/mimosalock/mimosalock/internal/node/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
