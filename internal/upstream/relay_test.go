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

// TestMain fixes the seed and the number of scenarios; flags change them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// scenario is one request and what the back ends do with it.
type scenario struct {
	Stream, Repeatable, Deterministic bool
	Scripts                           [][]script
	// Hedge is after how many milliseconds a second attempt starts; zero never.
	Hedge int
	// Leaves is after how many milliseconds the caller leaves; zero never.
	Leaves int
}

func drawScenario(t *rapid.T) scenario {
	one := rapid.Custom(func(t *rapid.T) script {
		return script{
			Behaviour: behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour")),
			Resume:    resumption(rapid.IntRange(0, int(resumptions)-1).Draw(t, "resume")),
			Events:    rapid.IntRange(0, answerTokens).Draw(t, "events"),
			Step:      rapid.IntRange(1, 3).Draw(t, "step"),
		}
	})
	return scenario{
		Stream:        rapid.Bool().Draw(t, "stream"),
		Repeatable:    rapid.Bool().Draw(t, "repeatable"),
		Deterministic: rapid.Bool().Draw(t, "deterministic"),
		Scripts:       rapid.SliceOfN(rapid.SliceOfN(one, 0, 3), 3, 3).Draw(t, "scripts"),
		Hedge:         rapid.SampledFrom([]int{0, 1, 100, 3000}).Draw(t, "hedge"),
		Leaves:        rapid.SampledFrom([]int{0, 0, 0, 1, 100, 1000, 20000}).Draw(t, "leaves"),
	}
}

// outcome is what the caller saw and what the back ends did.
type outcome struct {
	result Result
	sink   recordingSink
	runs   int
	ended  int
	chosen int
}

// recordingSink keeps what the caller got.
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

// scriptedChooser takes the back ends in order, leaving out those tried.
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
	return Target{}, fault.New(fault.Unavailable, "no back end is left", "wait")
}

func (c *scriptedChooser) Ended(Target, Report) { c.ended++ }

// play carries a scenario out in virtual time.
func play(t *testing.T, s scenario) (found outcome) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var total atomic.Int64
		backends := make(map[string]*backend)
		chooser := &scriptedChooser{hedgeAfter: time.Duration(s.Hedge) * time.Millisecond}
		for number, scripts := range s.Scripts {
			name := string(rune('a' + number))
			chooser.names = append(chooser.names, name)
			backends[name] = &backend{name: name, scripts: scripts, total: &total, stream: s.Stream, deterministic: s.Deterministic}
		}
		client := NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
			return backends[address].dial(ctx)
		})
		if s.Leaves > 0 {
			time.AfterFunc(time.Duration(s.Leaves)*time.Millisecond, cancel)
		}
		request := &Request{
			ID: "request", Kind: Engine, Method: http.MethodPost, Path: completionPath, Body: []byte("{}"),
			Stream: s.Stream, Repeatable: s.Repeatable, Deterministic: s.Deterministic,
			Timeouts: Timeouts{Connect: time.Second, FirstByte: 5 * time.Second, BetweenBytes: time.Second},
		}
		found.result = NewRelay(client, NewRetryBudget()).Run(ctx, request, chooser, &found.sink)
		found.chosen, found.ended = chooser.chosen, chooser.ended
		// Late orders and hung back ends end in virtual time.
		time.Sleep(2 * time.Hour)
		client.Close()
		synctest.Wait()
		found.runs = int(total.Load())
	})
	return found
}

// TestRelayKeepsItsPromises shows, over arbitrary failures of the back ends,
// that "not run" did not run, that an answer is whole or has a typed fault, that
// what was relayed is the start of one run's answer, and that a request that may
// not be repeated runs at most once.
func TestRelayKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		found := play(t, s)
		if err := judge(s, &found); err != nil {
			rt.Fatalf("%v: %+v after %d runs, got %q", err, found.result, found.runs, found.sink.body.String())
		}
	})
}

func judge(s scenario, found *outcome) error {
	result := found.result
	switch {
	case found.chosen != found.ended:
		return errors.New("an attempt was not counted down")
	case !s.Repeatable && found.runs > 1:
		return errors.New("a request that may not be repeated ran twice")
	case result.Fault != nil && result.Fault.Ran == fault.NotRun && found.runs > 0:
		return errors.New("a request reported as not run did run")
	case result.Fault != nil && result.Fault.Ran == fault.RanNotApplicable:
		return errors.New("a fault does not say whether the request ran")
	case !result.Complete && result.Fault == nil:
		return errors.New("there is neither an answer nor a fault")
	case found.sink.begun > 1:
		return errors.New("the answer began twice")
	case result.Canceled && s.Leaves == 0:
		return errors.New("nobody left")
	}
	return judgeContent(s, found)
}

// judgeContent checks that what was relayed belongs to one run, from its start,
// and to its end where the answer is reported as whole.
func judgeContent(s scenario, found *outcome) error {
	content := found.sink.body.String()
	if s.Stream {
		var text strings.Builder
		for line := range strings.Lines(content) {
			if data, ok := strings.CutPrefix(line, "data: <"); ok {
				text.WriteString("<" + strings.TrimSpace(data))
			}
		}
		if found.result.Complete && !strings.HasSuffix(content, "data: usage\n\ndata: [DONE]\n\n") {
			return errors.New("a whole stream lacks its usage or its end marker")
		}
		if strings.Count(content, "data: usage") > 1 {
			return errors.New("the usage was relayed twice")
		}
		content = text.String()
	}
	for run := range found.runs + 1 {
		whole := answerText(run)
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
	return errors.New("what was relayed is not the answer of one run")
}
