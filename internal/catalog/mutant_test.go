package catalog

import (
	"flag"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// verdict takes the place of a test, to learn whether a property fails.
type verdict struct {
	*testing.T
	failed bool
}

func (v *verdict) Logf(string, ...any)   {}
func (v *verdict) Errorf(string, ...any) { v.failed = true }
func (v *verdict) Error(...any)          { v.failed = true }
func (v *verdict) Fatalf(string, ...any) { v.FailNow() }
func (v *verdict) Fatal(...any)          { v.FailNow() }
func (v *verdict) Fail()                 { v.failed = true }
func (v *verdict) Failed() bool          { return v.failed }
func (v *verdict) FailNow() {
	v.failed = true
	runtime.Goexit()
}

// goesRed tells whether a property fails. Nothing is written to disk and the
// failing case is not made smaller.
func goesRed(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "1ns"} {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, before) }()
	}
	observed := &verdict{T: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(observed, property)
	}()
	<-done
	return observed.failed
}

func TestOracleNoticesAMissingCompare(t *testing.T) {
	if !goesRed(t, func(t *rapid.T) { run(t, hooks{skipCompare: true}) }) {
		t.Error("a machine that does not compare numbers and checksums passes")
	}
}
