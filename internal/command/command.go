// Package command implements the command line of rockwind: the daemons and the
// operator's commands, one file each. A failure is printed as one message with its
// remedy, and gives a documented exit code.
package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"rockwind.example/rockwind/internal/fault"
)

// Exit codes of all commands.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the command failed for a reason without a code of its own.
	ExitFailed = 1
	// ExitRefused: invalid usage or refused input.
	ExitRefused = 2
	// ExitConflict: another value was accepted first, or the input is outdated.
	ExitConflict = 3
	// ExitUnavailable: no process that can respond was reached in time. A change may
	// have been made; the command can be repeated.
	ExitUnavailable = 4
)

const description = `Rockwind lets several groups share one fleet of model servers for online and batch inference.

Exit codes: 0 done, 1 failed, 2 wrong usage or refused input, 3 conflict with what is in force, 4 unavailable (repeat the command).`

// commandLine defines the commands and flags.
type commandLine struct {
	Connection `group:"Connection"`
	Output     string `enum:"table,json" default:"table" help:"Form of the output: ${enum}."`

	Gateway gatewayCommand `cmd:"" group:"Daemons" help:"Run a gateway."`
	Control controlCommand `cmd:"" group:"Daemons" help:"Run a control daemon."`
	Site    siteCommand    `cmd:"" group:"Daemons" help:"Run a coordinator, router or store of a site."`

	Cluster    clusterCommand    `cmd:"" group:"Operation" help:"Found a cluster and look at its replicas."`
	Apply      applyCommand      `cmd:"" group:"Operation" help:"Apply a configuration file as a whole."`
	Diff       diffCommand       `cmd:"" group:"Operation" help:"Show what a configuration file would change."`
	Get        getCommand        `cmd:"" group:"Operation" help:"Show the configuration in force, or the objects of a kind."`
	Status     statusCommand     `cmd:"" group:"Operation" help:"Show which configuration is in force where, and the state of daemons and back ends."`
	Jobs       jobsCommand       `cmd:"" group:"Operation" help:"Submit batch jobs and look at them."`
	Drain      drainCommand      `cmd:"" group:"Operation" help:"Let a daemon finish its requests and take no new ones."`
	Logs       logsCommand       `cmd:"" group:"Operation" help:"Show the last log entries of a daemon."`
	Quarantine quarantineCommand `cmd:"" group:"Operation" help:"Show requests under which servers of a site ended, and release them."`
	Zones      zonesCommand      `cmd:"" group:"Operation" help:"Drain the zones of a site, and show which are drained."`
	Explain    explainCommand    `cmd:"" group:"Operation" help:"Show from logs what became of a request, job, item or server, and why."`
}

// session holds the connection, input and output of a command.
type session struct {
	context    context.Context
	connection Connection
	printer    *printer
	stdin      io.Reader
	stderr     io.Writer
}

// Main runs one command line and returns the exit code. SIGINT and SIGTERM cancel its
// context.
func Main(arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return Run(ctx, arguments, stdin, stdout, stderr)
}

// exitRequest is the panic value that carries the parser's exit code after --help.
type exitRequest int

// Run runs one command line with the given context and returns the exit code.
func Run(ctx context.Context, arguments []string, stdin io.Reader, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch caught := recover().(type) {
		case nil:
		case exitRequest:
			code = int(caught)
		default:
			panic(caught)
		}
	}()
	line := &commandLine{}
	parser, err := kong.New(line,
		kong.Name("rockwind"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
	)
	if err != nil {
		return printError(stderr, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return printError(stderr, fault.New(fault.InvalidArgument, err.Error(), "run 'rockwind --help', or any command with --help"))
	}
	current := &session{
		context:    ctx,
		connection: line.Connection,
		printer:    &printer{output: stdout, json: line.Output == "json"},
		stdin:      stdin,
		stderr:     stderr,
	}
	if err := parsed.Run(current); err != nil {
		return printError(stderr, err)
	}
	return ExitOK
}

const helpWidth = 100

// printError prints an error and returns its exit code.
func printError(stderr io.Writer, err error) int {
	found := fault.From(err)
	fmt.Fprintf(stderr, "rockwind: %s\n", found.Error())
	return exitCode(found.Kind)
}

func exitCode(kind fault.Kind) int {
	switch kind {
	case fault.InvalidArgument, fault.NotFound, fault.Unauthenticated:
		return ExitRefused
	case fault.Conflict, fault.Stale:
		return ExitConflict
	case fault.Unavailable, fault.NotLeader, fault.Overloaded, fault.Quarantined, fault.LimitReached, fault.OutcomeUnknown:
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

// withTimeout returns a context with the timeout of the connection.
func (s *session) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.context, s.connection.Timeout)
}

// sleep pauses, and returns false if the context ended before the pause was over.
func (s *session) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.context.Done():
		return false
	}
}
