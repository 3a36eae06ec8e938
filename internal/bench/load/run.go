package load

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

// ScheduledCall is a call with its intended start, relative to the start of the run.
type ScheduledCall struct {
	At   time.Duration
	Call Call
	// Class is the name under which the call is reported, such as the kind of request.
	Class string
}

// Schedule returns the next call in the order of starts, and false at the end. It is called
// from one goroutine.
type Schedule func() (ScheduledCall, bool)

// Options configure Run.
type Options struct {
	// MaxInFlight limits the concurrent calls. Calls above it aren't sent but counted, so
	// that the report shows them.
	MaxInFlight int
	// Timeout bounds one call.
	Timeout time.Duration
	// Observe, if set, is called for every finished call, concurrently.
	Observe func(ScheduledCall, Measurement)
}

// Defaults of Options.
const (
	defaultMaxInFlight = 20_000
	defaultTimeout     = 2 * time.Minute
)

// Run sends the calls of a schedule at their times and waits for all answers. It stops
// sending when the context ends.
func Run(ctx context.Context, schedule Schedule, options Options) *Result {
	if options.MaxInFlight <= 0 {
		options.MaxInFlight = defaultMaxInFlight
	}
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	client := NewClient(options.MaxInFlight, options.Timeout)
	defer client.Close()
	result := NewResult()
	slots := make(chan struct{}, options.MaxInFlight)
	var calls sync.WaitGroup
	begin := time.Now()
	for {
		planned, more := schedule()
		if !more || !sleepUntil(ctx, begin.Add(planned.At)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			result.NotSent(planned.Class)
			continue
		}
		calls.Go(func() {
			intended := begin.Add(planned.At)
			result.Started(planned.Class, time.Since(intended))
			measured := client.Do(ctx, planned.Call, intended)
			<-slots
			result.Add(planned.Class, measured)
			if options.Observe != nil {
				options.Observe(planned, measured)
			}
		})
	}
	calls.Wait()
	result.Elapsed = time.Since(begin)
	return result
}

// sleepUntil sleeps until a time and returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return retry.Pause(ctx, time.Until(at))
}

// Poisson returns a schedule with the starts of a Poisson process of the given mean rate per
// second.
func Poisson(rate float64, duration time.Duration, random *rand.Rand, class string, call func(number int) Call) Schedule {
	var at time.Duration
	number := 0
	return func() (ScheduledCall, bool) {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return ScheduledCall{}, false
		}
		number++
		return ScheduledCall{At: at, Call: call(number - 1), Class: class}, true
	}
}

// Replay returns the schedule of a trace. call converts a record to a call and returns
// whether to send it.
func Replay(records []Record, call func(record Record, number int) (Call, bool)) Schedule {
	number := 0
	return func() (ScheduledCall, bool) {
		for number < len(records) {
			record := records[number]
			number++
			if made, send := call(record, number-1); send {
				return ScheduledCall{At: record.At(), Call: made, Class: string(record.Kind)}, true
			}
		}
		return ScheduledCall{}, false
	}
}
