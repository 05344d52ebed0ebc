// Package cmds implements the command lines of mimosalock, loadgen and standin.
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
	exitFailure = 1 // invalid input or a failed run
	exitUsage   = 2
)

// Run is the command line of mimosalock. It returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	env := &environment{stdout: stdout, stderr: stderr}
	return runCommand("mimosalock", "mimosalock routes calls to model engines and plain services. Each call gets a complete response or an explicit refusal.", commands(env), args, env)
}

// runCommand runs the command that the arguments name and returns the exit code.
func runCommand(name, description string, list []command, args []string, env *environment) int {
	stdout, stderr := env.stdout, env.stderr
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	for _, c := range list {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return fail(name, stderr, err, exitUsage)
		}
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, flagsErr.Message)
		return exitOK
	case errors.As(err, &flagsErr):
		_, _ = fmt.Fprintf(stderr, "%s: %s (see --help)\n", name, flagsErr.Message)
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

// errReported marks a failure whose details have already been printed.
var errReported = errors.New("reported")

// environment holds the output streams of a command.
type environment struct {
	stdout, stderr io.Writer
}

// printLine formats a line and writes it to standard output.
func (e *environment) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format+"\n", args...)
}

type command struct {
	name, short, long string
	data              any
}

func commands(env *environment) []command {
	return []command{
		{"entry", "Run an entry", "Takes callers' requests and relays the responses. SIGTERM drains it before it exits.", &entryCommand{env: env}},
		{"agent", "Run an agent", "Runs beside one endpoint and admits calls to it. SIGTERM drains it before it exits.", &agentCommand{env: env}},
		{"check", "Validate service files and process settings", "Prints every fault as file:line:column: message.", &checkCommand{env: env}},
		{"publish", "Build a configuration version from service files", "Writes the manifest and shards to upload to the configuration service.", &publishCommand{env: env}},
		{"status", "Show the state of a process", "Configuration version, data centres, services, hosts and, for an agent, its endpoint.", &statusCommand{env: env}},
		{"explain", "Show the audit events of a call or endpoint", "Reads the audit trails of the processes named by --admin.", &explainCommand{env: env}},
		{"explain-call", "Show where a gateway or an entry would place a call now, and why", "Asks a gateway at its port of peers and metrics, or an entry at its admin port. Nothing is sent to endpoints; an entry probes agents.", &explainCallCommand{env: env}},
		{"demo", "Run a small fleet on loopback", "Two data centres in one process; engines, services and the platform are stand-ins (fakes).", &demoCommand{env: env}},
	}
}

// signalContext returns a context that SIGINT or SIGTERM cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
