// Package configuration reads, checks, compares and hashes the declarative
// configuration of a fleet. A file is accepted entirely or refused entirely:
// Parse lists its faults with their positions. Compare and ApplyChange turn two
// configurations into a change and back, and Index is the immutable form that
// daemons look things up in.
package configuration

import (
	"rockwind.example/rockwind/internal/rockwindpb"
)

// MaximumFileBytes bounds the size of a configuration file.
const MaximumFileBytes = 16 << 20

// Parse reads a YAML configuration file, fills in the defaults, puts the
// objects into canonical order and checks the whole. The configuration is nil
// where there are problems. The file name is used in the problems only.
func Parse(fileName string, data []byte) (*rockwindpb.Configuration, []Problem) {
	result := &rockwindpb.Configuration{}
	document, problems := Decode(fileName, data, result)
	if document == nil {
		return nil, problems.result()
	}
	checker := &checker{configuration: result, positions: document, problems: problems}
	checker.run()
	if !problems.empty() {
		return nil, problems.result()
	}
	Normalise(result)
	return result, nil
}

// Check lists the faults of a configuration that did not come from a file, for
// example one that was received over the network.
func Check(configuration *rockwindpb.Configuration) []Problem {
	problems := newProblemList("")
	checker := &checker{configuration: configuration, positions: noPositions{}, problems: problems}
	checker.run()
	return problems.result()
}
