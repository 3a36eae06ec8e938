// Package configuration parses, validates, compares and hashes the declarative
// configuration of a fleet. A file with any problem is rejected; Parse returns the
// problems with their positions. Compare computes the change between two
// configurations, ApplyChange applies it, and Index is the immutable form that
// daemons use for lookups.
package configuration

import (
	"rockwind.example/rockwind/internal/rockwindpb"
)

// MaximumFileBytes bounds the size of a configuration file.
const MaximumFileBytes = 16 << 20

// Parse decodes and validates a YAML configuration file, sets the defaults and sorts
// the objects. The configuration is nil if there are problems. The file name is used
// in problems only.
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

// Check returns the problems of a configuration that did not come from a file, for
// example one received over the network.
func Check(configuration *rockwindpb.Configuration) []Problem {
	problems := newProblemList("")
	checker := &checker{configuration: configuration, positions: noPositions{}, problems: problems}
	checker.run()
	return problems.result()
}
