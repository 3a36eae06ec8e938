package load

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

// ScheduledCall is a call with its intended start since the begin of the run.
type ScheduledCall struct {
	At   time.Duration
	Call Call
	// Class separates figures, for example by kind of request.
	Class string
}

// Schedule gives the planned calls in the order of their starts, and false at
// the end. It is called from one goroutine.
type Schedule func() (ScheduledCall, bool)

// Options say how a schedule is run.
type Options struct {
	// MaxInFlight bounds the calls in progress. A call that finds no place is
	// not sent and counts as such: the figures then say so instead of hiding it.
	MaxInFlight int
	// Timeout bounds one call.
	Timeout time.Duration
	// Observe is called with every call that ended, from many goroutines.
	Observe func(ScheduledCall, Measurement)
}

// Defaults of Options.
const (
	defaultMaxInFlight = 20_000
	defaultTimeout     = 2 * time.Minute
)

// Run sends the calls of a schedule at their times and waits for all answers.
// It stops sending when the context ends.
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
	places := make(chan struct{}, options.MaxInFlight)
	var calls sync.WaitGroup
	begin := time.Now()
	for {
		planned, more := schedule()
		if !more || !sleepUntil(ctx, begin.Add(planned.At)) {
			break
		}
		select {
		case places <- struct{}{}:
		default:
			result.NotSent(planned.Class)
			continue
		}
		calls.Go(func() {
			intended := begin.Add(planned.At)
			result.Started(planned.Class, time.Since(intended))
			measured := client.Do(ctx, planned.Call, intended)
			<-places
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

// sleepUntil waits for a time and tells whether the context still lasts.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return retry.Pause(ctx, time.Until(at))
}

// Poisson returns a schedule of calls at random times with the given mean rate a
// second, for the given duration.
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

// Replay returns the schedule of a trace. The call function turns a record into
// a call and tells whether to send it.
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
