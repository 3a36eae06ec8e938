// Package mutant tells, for tests, whether a property notices a system that was broken on
// purpose. A property that holds for such a mutant proves nothing of the system itself.
package mutant

import (
	"flag"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// settings of rapid while a mutant is tried: nothing is written to disk, and the failing case
// is not made smaller.
var settings = map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "1ns"}

// Killed tells whether a property of a mutant fails. It changes flags of rapid meanwhile:
// tests that run beside it must not use rapid.
func Killed(t testing.TB, property func(*rapid.T)) bool {
	t.Helper()
	for name, value := range settings {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, before) }()
	}
	seen := &verdict{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(seen, property)
	}()
	<-done
	return seen.failed
}

// verdict takes the place of a test, and records whether it failed.
type verdict struct {
	testing.TB
	failed bool
}

func (v *verdict) Helper()               {}
func (v *verdict) Log(...any)            {}
func (v *verdict) Logf(string, ...any)   {}
func (v *verdict) Error(...any)          { v.failed = true }
func (v *verdict) Errorf(string, ...any) { v.failed = true }
func (v *verdict) Fatal(...any)          { v.FailNow() }
func (v *verdict) Fatalf(string, ...any) { v.FailNow() }
func (v *verdict) Fail()                 { v.failed = true }
func (v *verdict) Failed() bool          { return v.failed }

// FailNow ends the goroutine, as that of a test does.
func (v *verdict) FailNow() {
	v.failed = true
	runtime.Goexit()
}
