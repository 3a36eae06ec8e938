package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Command implements `rockwind-bench load`.
type Command struct {
	Target       []string      `help:"Addresses to send to in turn, ip:port." required:""`
	APIKey       string        `help:"API key of the caller." name:"api-key" env:"ROCKWIND_API_KEY"`
	Model        string        `help:"Model to ask for." default:"assistant-7b"`
	Rate         float64       `help:"Mean rate of requests a second." default:"10"`
	Duration     time.Duration `help:"How long to send." default:"10s"`
	PromptTokens int           `help:"Length of prompts in tokens." default:"200"`
	PrefixTokens int           `help:"Length of the prefix that all prompts share, in tokens."`
	MaxTokens    int           `help:"Length of answers in tokens." default:"50"`
	Stream       bool          `help:"Ask for streams."`
	Priority     int           `help:"X-Priority to send, for engines that are called directly."`
	Trace        string        `help:"Trace to replay in place of a steady rate." type:"existingfile"`
	KeyPrefix    string        `help:"API keys of a trace's tenants: this text and the tenant's name." default:"demo-key-"`
	MaxInFlight  int           `help:"Bound on requests in progress; above it requests are not sent and counted." default:"20000"`
	Timeout      time.Duration `help:"Bound on one request." default:"2m"`
	Seed         int64         `help:"Seed of the arrivals." default:"1"`
	JSON         bool          `help:"Print the figures as JSON." name:"json"`
}

// Run sends the load and prints the report.
func (c *Command) Run() error {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer release()
	schedule, err := c.schedule()
	if err != nil {
		return err
	}
	result := Run(ctx, schedule, Options{MaxInFlight: c.MaxInFlight, Timeout: c.Timeout})
	return Print(os.Stdout, result.Report(), c.JSON)
}

func (c *Command) schedule() (Schedule, error) {
	unique := uint64(c.Seed) << 32
	if c.Trace == "" {
		random := rand.New(rand.NewSource(c.Seed))
		return Poisson(c.Rate, c.Duration, random, string(KindOnline), func(number int) Call {
			return Call{
				Target:    c.Target[number%len(c.Target)],
				APIKey:    c.APIKey,
				Model:     c.Model,
				Content:   Prompt(uint64(c.Seed), c.PrefixTokens, c.PromptTokens, unique+uint64(number)),
				MaxTokens: c.MaxTokens,
				Stream:    c.Stream,
				Priority:  c.Priority,
			}
		}), nil
	}
	file, err := os.Open(c.Trace)
	if err != nil {
		return nil, errors.Wrap(err, "open the trace")
	}
	defer file.Close()
	records, err := ReadTrace(file)
	if err != nil {
		return nil, err
	}
	return Replay(records, func(record Record, number int) (Call, bool) {
		call, send := record.Call(unique + uint64(number))
		call.Target = c.Target[number%len(c.Target)]
		call.APIKey = c.KeyPrefix + record.Tenant
		return call, send
	}), nil
}

// Call returns the call of a record, without target and API key. It returns false for a job,
// which isn't a single call.
func (r Record) Call(unique uint64) (Call, bool) {
	switch r.Kind {
	case KindService:
		return Call{Path: "/services/" + r.Model + "/", Content: fmt.Sprintf(`{"question":%d}`, unique)}, true
	case KindOnline:
		return Call{
			Model:     r.Model,
			Content:   Prompt(r.SharedPrefix, r.SharedPrefixTokens, r.PromptTokens, unique),
			MaxTokens: r.MaxTokens,
			Stream:    r.Stream,
		}, true
	default:
		return Call{}, false
	}
}

// Print writes a report as JSON or as text.
func Print(writer io.Writer, report Report, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(report), "print the report")
	}
	var text strings.Builder
	for _, class := range report.Classes {
		fmt.Fprintf(&text, "%s: sent %d, not sent %d, %.1f requests/s, %.0f tokens/s\n",
			class.Class, class.Sent, class.NotSent, class.RequestsPerSecond, class.TokensPerSecond)
		for _, outcome := range class.Outcomes {
			fmt.Fprintf(&text, "  %s: %d %s\n", outcome.Outcome, outcome.Count, outcome.Example)
		}
		printSummary(&text, "latency", class.Latency)
		printSummary(&text, "first token", class.FirstToken)
		printSummary(&text, "between tokens", class.BetweenTokens)
		printSummary(&text, "generator lateness", class.Lateness)
	}
	_, err := io.WriteString(writer, text.String())
	return errors.Wrap(err, "print the report")
}

func printSummary(text *strings.Builder, name string, summary Summary) {
	fmt.Fprintf(text, "  %s ms: p50 %.2f p90 %.2f p99 %.2f p99.9 %.2f max %.2f (%d)\n",
		name, summary.P50Ms, summary.P90Ms, summary.P99Ms, summary.P999Ms, summary.MaxMs, summary.Count)
}

// TraceCommand implements `rockwind-bench trace`.
type TraceCommand struct {
	Output   string        `help:"File to write." required:"" type:"path"`
	Model    string        `help:"Model of the requests." default:"assistant-7b"`
	Service  string        `help:"Service of the requests." default:"availability"`
	Duration time.Duration `help:"Length of the trace." default:"1m"`
	Scale    float64       `help:"Factor on the rates." default:"1"`
	Seed     int64         `help:"Seed of the trace." default:"1"`
}

// Run generates and writes a trace of both deployments.
func (c *TraceCommand) Run() error {
	mixes := []Mix{SchedulingMix(c.Model, c.Service), PuzzlesMix(c.Model, c.Service)}
	for index := range mixes {
		mixes[index].Rate *= c.Scale
	}
	records := Generate(mixes, c.Duration, rand.New(rand.NewSource(c.Seed)))
	file, err := os.Create(c.Output)
	if err != nil {
		return errors.Wrap(err, "create the trace")
	}
	return errors.CombineErrors(WriteTrace(file, records), file.Close())
}
