// Package settings reads the settings of a daemon: a YAML file in the schema of
// proto/rockwind/v1/settings.proto, over it the environment (ROCKWIND_ and the
// field's name in capitals), and over both the flags. Everything is checked at
// the start, and all faults are listed at once.
package settings

import (
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Defaults of settings that may be left out.
const (
	DefaultExchangeInterval = time.Second
	DefaultBatchConcurrency = 256
	DefaultTick             = 50 * time.Millisecond
)

// LoadGateway returns the checked settings of a gateway. The path may be empty
// where environment and overrides give everything. An override is "field=value",
// with a dot before fields of fields. It fails with fault.InvalidArgument, a line
// for each problem.
func LoadGateway(path string, overrides []string) (*rockwindpb.GatewaySettings, error) {
	result := &rockwindpb.GatewaySettings{}
	loader, err := load(path, overrides, result)
	if err != nil {
		return nil, err
	}
	defaultDuration(&result.ExchangeInterval, DefaultExchangeInterval)
	if result.BatchConcurrency == 0 {
		result.BatchConcurrency = DefaultBatchConcurrency
	}
	loader.checkGateway(result)
	if err := loader.refusal(); err != nil {
		return nil, err
	}
	return result, nil
}

// LoadControl returns the checked settings of a control machine; see
// LoadGateway.
func LoadControl(path string, overrides []string) (*rockwindpb.ControlSettings, error) {
	result := &rockwindpb.ControlSettings{}
	loader, err := load(path, overrides, result)
	if err != nil {
		return nil, err
	}
	defaultDuration(&result.Tick, DefaultTick)
	loader.checkControl(result)
	if err := loader.refusal(); err != nil {
		return nil, err
	}
	return result, nil
}

// loader remembers where each value came from, for the messages.
type loader struct {
	file     string
	document *configuration.Document
	problems []configuration.Problem
	// sources names the environment variable or flag that set a field.
	sources map[string]string
}

func load(path string, overrides []string, message proto.Message) (*loader, error) {
	result := &loader{file: path, sources: make(map[string]string)}
	if path != "" {
		if err := result.readFile(path, message); err != nil {
			return nil, err
		}
	}
	result.readEnvironment(message)
	result.readOverrides(overrides, message)
	return result, result.refusal()
}

func (l *loader) readFile(path string, message proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Newf(fault.InvalidArgument, "check the path given with --settings", "the settings file cannot be read: %v", err)
	}
	l.document, l.problems = configuration.DecodeProblems(path, data, message)
	return l.refusal()
}

func (l *loader) refusal() error {
	return configuration.ProblemsError(l.problems)
}

// add records a problem of a field, at its place in the file or with the name
// of the variable or flag that set it.
func (l *loader) add(path fieldPath, message, remedy string) {
	problem := configuration.Problem{File: l.file, Message: message, Remedy: remedy}
	if source, found := l.sources[path.String()]; found {
		problem.File = source
	} else if l.document != nil {
		at := l.document.Position(path.steps()...)
		problem.Line, problem.Column = at.Line, at.Column
	}
	l.problems = append(l.problems, problem)
}
