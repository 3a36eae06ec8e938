// Package mutant supports mutation tests of properties: a property must fail for a mutant, which is
// a system with a deliberate fault, or it does not test for that fault.
package mutant

import (
	"flag"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// rapidFlags are the flags of rapid during a check of a mutant. They disable the files of failing
// cases and, in effect, shrinking.
var rapidFlags = map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "1ns"}

// Killed reports whether a property fails for a mutant. It changes flags of rapid during the check, so
// tests that run in parallel must not use rapid.
func Killed(t testing.TB, property func(*rapid.T)) bool {
	t.Helper()
	for name, value := range rapidFlags {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, before) }()
	}
	result := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(result, property)
	}()
	<-done
	return result.failed
}

// recorder replaces the test in rapid and records whether it failed.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Fatal(...any)          { r.FailNow() }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }

// FailNow marks the test as failed and ends the goroutine, as testing.T does.
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
