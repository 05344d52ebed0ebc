// Command gateway runs the gateway, the program that takes callers' requests on
// the users' platform.
package main

import (
	"os"

	"github.com/mimosalock/mimosalock/platform"
)

func main() { os.Exit(platform.Run(os.Stdout)) }
