package upstream

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
)

// TestMain sets a fixed seed and number of scenarios; flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// scenario is one request and the scripts of the backends.
type scenario struct {
	Stream, Repeatable, Deterministic bool
	Scripts                           [][]script
	// HedgeAfter is the hedge delay in milliseconds; zero disables hedging.
	HedgeAfter int
	// CancelAfter is when the caller cancels, in milliseconds; zero is never.
	CancelAfter int
}

func drawScenario(t *rapid.T) scenario {
	one := rapid.Custom(func(t *rapid.T) script {
		return script{
			Behaviour: behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour")),
			Resume:    resumption(rapid.IntRange(0, int(resumptions)-1).Draw(t, "resume")),
			Events:    rapid.IntRange(0, responseTokens).Draw(t, "events"),
			Step:      rapid.IntRange(1, 3).Draw(t, "step"),
		}
	})
	return scenario{
		Stream:        rapid.Bool().Draw(t, "stream"),
		Repeatable:    rapid.Bool().Draw(t, "repeatable"),
		Deterministic: rapid.Bool().Draw(t, "deterministic"),
		Scripts:       rapid.SliceOfN(rapid.SliceOfN(one, 0, 3), 3, 3).Draw(t, "scripts"),
		HedgeAfter:    rapid.SampledFrom([]int{0, 1, 100, 3000}).Draw(t, "hedge"),
		CancelAfter:   rapid.SampledFrom([]int{0, 0, 0, 1, 100, 1000, 20000}).Draw(t, "leaves"),
	}
}

// outcome is what the caller received and what the backends did.
type outcome struct {
	result Result
	sink   recordingSink
	runs   int
	ended  int
	chosen int
}

// recordingSink records the response.
type recordingSink struct {
	begun int
	body  bytes.Buffer
}

func (s *recordingSink) Begin(int, http.Header, int64) error {
	s.begun++
	return nil
}

func (s *recordingSink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

// scriptedChooser chooses the backends in order, skipping those already tried.
type scriptedChooser struct {
	names         []string
	hedgeAfter    time.Duration
	chosen, ended int
}

func (c *scriptedChooser) Choose(_ context.Context, tried []string) (Target, error) {
	for _, name := range c.names {
		if !slices.Contains(tried, name) {
			c.chosen++
			return Target{Name: name, Address: name, HedgeAfter: c.hedgeAfter}, nil
		}
	}
	return Target{}, fault.New(fault.Unavailable, "no backend is left", "wait")
}

func (c *scriptedChooser) Ended(Target, Report) { c.ended++ }

// runScenario runs a scenario in virtual time.
func runScenario(t *testing.T, s scenario) (found outcome) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var total atomic.Int64
		backends := make(map[string]*backend)
		chooser := &scriptedChooser{hedgeAfter: time.Duration(s.HedgeAfter) * time.Millisecond}
		for number, scripts := range s.Scripts {
			name := string(rune('a' + number))
			chooser.names = append(chooser.names, name)
			backends[name] = &backend{name: name, scripts: scripts, total: &total, stream: s.Stream, deterministic: s.Deterministic}
		}
		client := NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
			return backends[address].dial(ctx)
		})
		if s.CancelAfter > 0 {
			time.AfterFunc(time.Duration(s.CancelAfter)*time.Millisecond, cancel)
		}
		request := &Request{
			ID: "request", Kind: Engine, Method: http.MethodPost, Path: completionPath, Body: []byte("{}"),
			Stream: s.Stream, Repeatable: s.Repeatable, Deterministic: s.Deterministic,
			Timeouts: Timeouts{Connect: time.Second, FirstByte: 5 * time.Second, BetweenBytes: time.Second},
		}
		found.result = NewRelay(client, NewRetryBudget()).Run(ctx, request, chooser, &found.sink)
		found.chosen, found.ended = chooser.chosen, chooser.ended
		// Wait until late cancel calls and hung backends have ended.
		time.Sleep(2 * time.Hour)
		client.Close()
		synctest.Wait()
		found.runs = int(total.Load())
	})
	return found
}

// TestRelayReportsOutcomeUnderArbitraryFailures checks, for arbitrary failures of the
// backends, that a request reported as not run did not run, that a response is
// complete or has a typed fault, that the relayed part is the start of one run's
// response, and that an unrepeatable request runs at most once.
func TestRelayReportsOutcomeUnderArbitraryFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		found := runScenario(t, s)
		if err := checkOutcome(s, &found); err != nil {
			rt.Fatalf("%v: %+v after %d runs, got %q", err, found.result, found.runs, found.sink.body.String())
		}
	})
}

func checkOutcome(s scenario, found *outcome) error {
	result := found.result
	switch {
	case found.chosen != found.ended:
		return errors.New("an attempt was not reported as ended")
	case !s.Repeatable && found.runs > 1:
		return errors.New("an unrepeatable request ran twice")
	case result.Fault != nil && result.Fault.Ran == fault.NotRun && found.runs > 0:
		return errors.New("a request reported as not run did run")
	case result.Fault != nil && result.Fault.Ran == fault.RanNotApplicable:
		return errors.New("a fault does not say whether the request ran")
	case !result.Complete && result.Fault == nil:
		return errors.New("there is neither a response nor a fault")
	case found.sink.begun > 1:
		return errors.New("the response began twice")
	case result.Canceled && s.CancelAfter == 0:
		return errors.New("the request ended as canceled without being canceled")
	}
	return checkContent(s, found)
}

// checkContent checks that the relayed content is the start of one run's response,
// and all of it if the response is reported as complete.
func checkContent(s scenario, found *outcome) error {
	content := found.sink.body.String()
	if s.Stream {
		var text strings.Builder
		for line := range strings.Lines(content) {
			if data, ok := strings.CutPrefix(line, "data: <"); ok {
				text.WriteString("<" + strings.TrimSpace(data))
			}
		}
		if found.result.Complete && !strings.HasSuffix(content, "data: usage\n\ndata: [DONE]\n\n") {
			return errors.New("a complete stream lacks its usage or end marker")
		}
		if strings.Count(content, "data: usage") > 1 {
			return errors.New("the usage was relayed twice")
		}
		content = text.String()
	}
	for run := range found.runs + 1 {
		whole := responseText(run)
		if s.Stream && strings.HasPrefix(whole, content) && (content == whole || !found.result.Complete) {
			return nil
		}
		if !s.Stream && strings.Contains(content, whole) && strings.Contains(content, `"finish_reason":"stop"`) {
			return nil
		}
	}
	if content == "" && !found.result.Complete {
		return nil
	}
	return errors.New("the relayed content is not the response of one run")
}
