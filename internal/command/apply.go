package command

import (
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// standardInput is the file name that selects standard input.
const standardInput = "-"

// applyCommand is 'rockwind apply'.
type applyCommand struct {
	File     string        `short:"f" required:"" placeholder:"FILE" help:"Configuration file in YAML; '-' reads the input."`
	Operator string        `env:"ROCKWIND_OPERATOR" placeholder:"NAME" help:"Who applies it; named to whoever applies another file with the same number. The default is the user's name."`
	Wait     time.Duration `placeholder:"TIME" help:"Wait until the configuration is in force at all gateways that control hears, at most this long."`
}

// Help implements kong.HelpProvider.
func (*applyCommand) Help() string {
	return `The file is accepted entirely or refused entirely. Its number must be one more than the number in force
('rockwind get configuration --next' prints a file to start from). After a lost answer, apply the same file
again: it gets the same acceptance. When another operator was faster (exit code 3), make your change to the
configuration now in force, and apply it with the next number.`
}

// Run applies the file and optionally waits until it is in force.
func (a *applyCommand) Run(s *session) error {
	parsed, err := s.readConfiguration(a.File)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := client.Configuration().Apply(ctx, &rockwindpb.ApplyConfigurationRequest{
		Configuration: parsed,
		Operator:      operatorName(a.Operator),
	})
	if err != nil {
		return err
	}
	if a.Wait > 0 {
		if err := s.awaitInForce(response.GetAcceptance().GetNumber(), a.Wait); err != nil {
			return err
		}
	}
	return a.print(s, response)
}

func (a *applyCommand) print(s *session, response *rockwindpb.ApplyConfigurationResponse) error {
	acceptance := response.GetAcceptance()
	what := "accepted"
	if response.GetResent() {
		what = "had been accepted before"
	}
	return s.printer.line(response, "configuration %d %s (operator %s, %s, checksum %.12x)",
		acceptance.GetNumber(), what, acceptance.GetOperator(), timeText(acceptance.GetAcceptedUnixMs()), acceptance.GetChecksum())
}

// readConfiguration reads and checks a configuration file.
func (s *session) readConfiguration(name string) (*rockwindpb.Configuration, error) {
	data, err := s.readFile(name, configuration.MaximumFileBytes)
	if err != nil {
		return nil, err
	}
	parsed, problems := configuration.Parse(name, data)
	if len(problems) == 0 {
		return parsed, nil
	}
	refusal := fault.From(configuration.ProblemsError(problems))
	return nil, fault.New(refusal.Kind, "the file is refused, and nothing was changed:\n"+refusal.Message, "")
}

// readFile reads a file, or standard input for "-". It reads up to one byte more than
// the limit, so that the caller can detect a file that is too large.
func (s *session) readFile(name string, limit int64) ([]byte, error) {
	input := s.stdin
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, fault.Newf(fault.InvalidArgument, "check the path", "the file cannot be read: %v", err)
		}
		defer file.Close()
		input = file
	}
	data, err := io.ReadAll(io.LimitReader(input, limit+1))
	if err != nil {
		return nil, fault.Newf(fault.InvalidArgument, "check the path", "the file cannot be read: %v", err)
	}
	return data, nil
}

func operatorName(given string) string {
	if given != "" {
		return given
	}
	name := "unknown"
	if current, err := user.Current(); err == nil {
		name = current.Username
	}
	host, err := os.Hostname()
	if err != nil {
		return name
	}
	return name + "@" + host
}

// pollInterval is the pause between queries of the fleet's state.
const pollInterval = 200 * time.Millisecond

// awaitInForce waits until the configuration with the given number is in force at every
// gateway that reports to control.
func (s *session) awaitInForce(wanted uint64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	progress := newProgress(s.stderr)
	for {
		behind, err := s.gatewaysBehind(wanted)
		if err == nil && len(behind) == 0 {
			return nil
		}
		progress.report("configuration %d is not in force yet at %d gateways", wanted, len(behind))
		if time.Now().After(deadline) {
			return notInForceFault(wanted, behind, err)
		}
		if !s.sleep(pollInterval) {
			return fault.New(fault.Cancelled, "the wait was interrupted", "look with 'rockwind status'")
		}
	}
}

func notInForceFault(wanted uint64, behind []string, err error) error {
	const remedy = "look with 'rockwind status'; the gateways take it up by themselves once they reach control"
	if err != nil {
		return fault.Newf(fault.Unavailable, remedy, "configuration %d was accepted, but the state of the gateways is not known: %v", wanted, err)
	}
	return fault.Newf(fault.Unavailable, remedy, "configuration %d was accepted, but is not in force yet at: %s", wanted, fmt.Sprint(behind))
}

func (s *session) gatewaysBehind(wanted uint64) ([]string, error) {
	state, err := s.fleetState()
	if err != nil {
		return nil, err
	}
	var behind []string
	for _, daemon := range state.daemons {
		if daemon.GetConfigurationNumber() < wanted {
			behind = append(behind, daemon.GetName())
		}
	}
	return behind, nil
}
