// Package cmds is the command line of mimosalock.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1 // the input or the run is bad
	exitUsage   = 2
)

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	env := &environment{stdout: stdout, stderr: stderr}
	return runCommand("mimosalock", "mimosalock carries calls to model engines and plain services: complete answers or honest refusals.", commands(env), args, env)
}

// runCommand parses the arguments and runs the command that they name.
func runCommand(name, about string, list []command, args []string, env *environment) int {
	stdout, stderr := env.stdout, env.stderr
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about
	for _, c := range list {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return fail(name, stderr, err, exitUsage)
		}
	}
	_, err := parser.ParseArgs(args)
	var fe *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, fe.Message)
		return exitOK
	case errors.As(err, &fe):
		_, _ = fmt.Fprintf(stderr, "%s: %s (see --help)\n", name, fe.Message)
		return exitUsage
	}
	return fail(name, stderr, err, exitFailure)
}

func fail(name string, stderr io.Writer, err error, code int) int {
	if !errors.Is(err, errReported) {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", name, err)
	}
	return code
}

// errReported marks a failure whose details were printed already.
var errReported = errors.New("reported")

type environment struct {
	stdout, stderr io.Writer
}

// printLine writes a line to standard output.
func (e *environment) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format+"\n", args...)
}

type command struct {
	name, short, long string
	data              any
}

func commands(env *environment) []command {
	return []command{
		{"entry", "Run an entry", "Takes callers' requests and relays their answers. SIGTERM drains.", &entryCommand{env: env}},
		{"agent", "Run an agent", "Runs beside one endpoint and decides what it starts. SIGTERM drains.", &agentCommand{env: env}},
		{"check", "Validate service files", "Prints every fault as file:line:column: message.", &checkCommand{env: env}},
		{"publish", "Collect service files into a version", "Writes manifest and shards for the platform to upload.", &publishCommand{env: env}},
		{"status", "Show the state of a process", "Versions, data centres, endpoints, limits.", &statusCommand{env: env}},
		{"explain", "Tell the story of a call or endpoint", "Reads the audit trails of the processes named by --admin.", &explainCommand{env: env}},
		{"demo", "Run the whole path on loopback", "Two data centres with stand-ins in one process.", &demoCommand{env: env}},
	}
}

// signalContext returns a context that ends with SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
