// Command standin runs small stand-ins of the systems that mimosalock meets.
package main

import (
	"os"

	"github.com/mimosalock/mimosalock/internal/node/cmds"
)

func main() {
	os.Exit(cmds.RunStandin(os.Args[1:], os.Stdout, os.Stderr))
}
