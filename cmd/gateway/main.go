// Command gateway runs an entry on the users' platform.
package main

import (
	"os"

	"github.com/mimosalock/mimosalock/platform"
)

func main() { os.Exit(platform.Run(os.Stdout)) }
