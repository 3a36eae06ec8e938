// Package settings loads the settings of a daemon from a YAML file in the schema of
// proto/rockwind/v1/settings.proto, environment variables (ROCKWIND_ and the field's
// name in capitals) and flags; later sources take precedence. Settings are validated
// at startup. All decoding problems are reported together, and then all invalid
// values.
package settings

import (
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Defaults of optional settings.
const (
	DefaultExchangeInterval = time.Second
	DefaultBatchConcurrency = 256
	DefaultTick             = 50 * time.Millisecond
)

// LoadGateway returns the validated settings of a gateway. The path may be empty if
// the environment and the overrides give all settings. An override has the form
// "field=value" or "field.nested=value". Problems are returned as one
// fault.InvalidArgument with a line for each.
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
	if err := loader.problemsError(); err != nil {
		return nil, err
	}
	return result, nil
}

// LoadControl returns the validated settings of a control machine; see LoadGateway.
func LoadControl(path string, overrides []string) (*rockwindpb.ControlSettings, error) {
	result := &rockwindpb.ControlSettings{}
	loader, err := load(path, overrides, result)
	if err != nil {
		return nil, err
	}
	defaultDuration(&result.Tick, DefaultTick)
	loader.checkControl(result)
	if err := loader.problemsError(); err != nil {
		return nil, err
	}
	return result, nil
}

// loader collects problems and the sources of values, which the problems name.
type loader struct {
	file     string
	document *configuration.Document
	problems []configuration.Problem
	// sources has the environment variable or flag that set a field, by field path.
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
	return result, result.problemsError()
}

func (l *loader) readFile(path string, message proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Newf(fault.InvalidArgument, "check the path given with --settings", "the settings file cannot be read: %v", err)
	}
	l.document, l.problems = configuration.DecodeProblems(path, data, message)
	return l.problemsError()
}

func (l *loader) problemsError() error {
	return configuration.ProblemsError(l.problems)
}

// add adds a problem of a field, with its position in the file or the name of the
// variable or flag that set it.
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
