// Package demo starts a complete fleet on loopback, on which two groups run online
// requests and batch jobs at the same time, and prints the results.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/fault"
)

// Command is `rockwind-bench fleet demo`.
type Command struct {
	Keep     bool          `help:"Leave the fleet running and print how to talk to it."`
	Duration time.Duration `help:"How long the online load runs." default:"20s"`
	Folder   string        `help:"Folder for the fleet's files; empty makes a temporary one." type:"path"`
	Programs string        `help:"Folder of the programs; empty takes this program's." type:"path"`
	Seed     int64         `help:"Seed of the load." default:"1"`
}

// Parameters of the demo.
const (
	chatTokens    = 24
	itemsPerGroup = 120
	itemTokens    = 40
	batchTimeout  = 60 * time.Second
	pollInterval  = 100 * time.Millisecond
)

// Run implements the command.
func (c *Command) Run() error {
	ctx := context.Background()
	folder, err := c.folder()
	if err != nil {
		return err
	}
	plan := fleet.DefaultPlan()
	plan.Detached = c.Keep
	plan.WithPlatform = true
	fmt.Printf("starting %d control daemons, %d gateways, %d engines and %d services on loopback\n",
		plan.Controls, plan.Gateways, plan.Engines, plan.Services)
	running, err := fleet.Start(ctx, plan, folder, c.Programs)
	if err != nil {
		return err
	}
	if err := c.runWorkload(ctx, running); err != nil {
		running.Kill()
		return err
	}
	if c.Keep {
		printInstructions(os.Stdout, running)
		return nil
	}
	fmt.Println("stopping: gateways drain, then control, then the rest")
	if err := running.Stop(ctx); err != nil {
		return err
	}
	return os.RemoveAll(folder)
}

func (c *Command) folder() (string, error) {
	if c.Folder != "" {
		return c.Folder, os.MkdirAll(c.Folder, 0o755)
	}
	return os.MkdirTemp("", "rockwind-demo-")
}

func (c *Command) runWorkload(ctx context.Context, running *fleet.Fleet) error {
	if err := showChat(ctx, running); err != nil {
		return err
	}
	var results *load.Result
	finished := make([]jobSummary, len(fleet.Groups()))
	group, groupContext := errgroup.WithContext(ctx)
	group.Go(func() error {
		results = c.runOnlineLoad(groupContext, running)
		return nil
	})
	for number, name := range fleet.Groups() {
		group.Go(func() error {
			var err error
			finished[number], err = runJob(groupContext, running, number, name)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	printSummary(os.Stdout, results.Report(), finished)
	return nil
}

func newCaller(group string) *caller.Caller {
	return &caller.Caller{Client: &http.Client{}, Key: fleet.APIKey(fleet.TenantName(group, 0))}
}

// showChat streams one answer, checks it and prints it with its latencies.
func showChat(ctx context.Context, running *fleet.Fleet) error {
	content := "Which seats are free on Tuesday morning?"
	body := caller.UserChat(fleet.ModelName, content, chatTokens, true)
	started := time.Now()
	var first time.Duration
	text, err := newCaller(fleet.GroupScheduling).Chat(ctx, gatewayURL(running, 0), "", body, func() {
		if first == 0 {
			first = time.Since(started)
		}
	})
	if err != nil {
		return errors.Wrap(err, "stream a chat answer")
	}
	if text != engine.ExpectedText(engine.UserPrompt(content), chatTokens) {
		return fault.New(fault.Internal, "streamed answer differs from the expected text", "read the gateway's log")
	}
	fmt.Printf("streamed answer (first token after %s, whole after %s): %s\n",
		first.Round(time.Millisecond), time.Since(started).Round(time.Millisecond), strings.TrimSpace(text))
	return nil
}

func gatewayURL(running *fleet.Fleet, number int) string {
	return "http://" + running.Gateways[number%len(running.Gateways)].Address
}

// runOnlineLoad replays the online requests of both groups' traces through the
// gateways.
func (c *Command) runOnlineLoad(ctx context.Context, running *fleet.Fleet) *load.Result {
	mixes := []load.Mix{
		load.SchedulingMix(fleet.ModelName, fleet.ServiceName),
		load.PuzzlesMix(fleet.ModelName, fleet.ServiceName),
	}
	trace := load.Generate(mixes, c.Duration, rand.New(rand.NewSource(c.Seed)))
	next := 0
	schedule := func() (load.ScheduledCall, bool) {
		for next < len(trace) {
			number := next
			next++
			call, single := trace[number].Call(uint64(number))
			if !single {
				continue
			}
			call.Target = running.Gateways[number%len(running.Gateways)].Address
			call.APIKey = fleet.APIKey(trace[number].Tenant)
			return load.ScheduledCall{At: trace[number].At(), Call: call, Class: class(trace[number])}, true
		}
		return load.ScheduledCall{}, false
	}
	return load.Run(ctx, schedule, load.Options{})
}

// class returns the load class of a record: its group and kind.
func class(record load.Record) string {
	group, _, _ := strings.Cut(record.Tenant, "-tenant-")
	return group + " " + string(record.Kind)
}

// jobSummary is the result of one batch job.
type jobSummary struct {
	group     string
	items     int
	elapsed   time.Duration
	wrong     int
	completed int
}

// runJob submits a batch job, waits until it ends and checks every result.
func runJob(ctx context.Context, running *fleet.Fleet, number int, group string) (jobSummary, error) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	client, gateway := newCaller(group), gatewayURL(running, number)
	items := make([]caller.Item, itemsPerGroup)
	for index := range items {
		items[index] = caller.ChatItem(index, fleet.ModelName, itemContent(group, index), itemTokens)
	}
	input, err := caller.BatchInput(items)
	if err != nil {
		return jobSummary{}, err
	}
	started := time.Now()
	file, err := client.Upload(ctx, gateway, "demo.jsonl", input)
	if err != nil {
		return jobSummary{}, errors.Wrap(err, "upload batch input")
	}
	batch, err := client.Submit(ctx, gateway, file.ID, "demo-"+group)
	if err != nil {
		return jobSummary{}, errors.Wrap(err, "submit batch")
	}
	fmt.Printf("%s: job %s accepted with %d items\n", group, batch.ID, len(items))
	for !batch.Ended() {
		if batch, err = client.GetBatch(ctx, gateway, batch.ID); err != nil {
			return jobSummary{}, errors.Wrap(err, "read batch")
		}
		select {
		case <-ctx.Done():
			return jobSummary{}, fault.Newf(fault.Unavailable, "look at 'rockwind status'",
				"job %s did not end before the timeout: %+v", batch.ID, batch.Counts)
		case <-time.After(pollInterval):
		}
	}
	summary := jobSummary{group: group, items: len(items), elapsed: time.Since(started)}
	return summary, summary.check(ctx, client, gatewayURL(running, number+1), batch)
}

func itemContent(group string, index int) string {
	return fmt.Sprintf("%s item %d: rebuild the plan for next week", group, index)
}

// check reads the results through the given gateway and compares each with the
// expected text.
func (s *jobSummary) check(ctx context.Context, client *caller.Caller, gateway string, batch caller.Batch) error {
	content, err := client.Content(ctx, gateway, batch.OutputFileID)
	if err != nil {
		return errors.Wrap(err, "read results")
	}
	outputs, err := caller.ParseOutput(content)
	if err != nil {
		return err
	}
	byID := map[string]string{}
	for _, output := range outputs {
		byID[output.CustomID] = output.Text
	}
	for index := range s.items {
		expected := engine.ExpectedText(engine.UserPrompt(itemContent(s.group, index)), itemTokens)
		if byID[fmt.Sprintf("item-%d", index)] == expected {
			s.completed++
		} else {
			s.wrong++
		}
	}
	if s.wrong > 0 || len(outputs) != s.items {
		return fault.Newf(fault.Internal, "read the gateways' logs",
			"%d of %d results of %s are missing or wrong", s.wrong, s.items, s.group)
	}
	return nil
}

func printSummary(output io.Writer, report load.Report, jobs []jobSummary) {
	fmt.Fprintf(output, "\n%-20s %6s %10s %10s %10s %12s\n", "online", "sent", "p50 ms", "p99 ms", "TTFT p99", "not whole")
	for _, class := range report.Classes {
		failed := 0
		for _, outcome := range class.Outcomes {
			if outcome.Outcome != load.OutcomeOK {
				failed += outcome.Count
				fmt.Fprintf(output, "  %s: %d, for example %s\n", outcome.Outcome, outcome.Count, outcome.Example)
			}
		}
		fmt.Fprintf(output, "%-20s %6d %10.1f %10.1f %10.1f %12d\n", class.Class, class.Sent,
			class.Latency.P50Ms, class.Latency.P99Ms, class.FirstToken.P99Ms, failed)
	}
	fmt.Fprintf(output, "\n%-20s %6s %10s %12s\n", "batch", "items", "seconds", "tokens/s")
	for _, job := range jobs {
		fmt.Fprintf(output, "%-20s %6d %10.1f %12.0f\n", job.group, job.completed, job.elapsed.Seconds(),
			float64(job.completed*itemTokens)/job.elapsed.Seconds())
	}
	fmt.Fprintln(output)
}

func printInstructions(output io.Writer, running *fleet.Fleet) {
	fmt.Fprintf(output, `
The fleet is running; its files are in %[1]s.

Ask a question:
  curl -N http://%[2]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"%[4]s","max_tokens":20,"stream":true,"messages":[{"role":"user","content":"hello"}]}'

Look at it as an operator:
  export ROCKWIND_CONTROL=%[5]s
  bin/rockwind status
  bin/rockwind get configuration

Submit a batch job, and look at it:
  export ROCKWIND_GATEWAY=http://%[2]s ROCKWIND_API_KEY=%[3]s
  echo '{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"%[4]s","max_tokens":20,"messages":[{"role":"user","content":"hello"}]}}' |
    bin/rockwind jobs submit -f -
  bin/rockwind jobs list

Stop it:
  kill %[6]s
`, running.Folder, running.Gateways[0].Address, fleet.APIKey(fleet.TenantName(fleet.GroupScheduling, 0)),
		fleet.ModelName, strings.Join(running.ControlAddresses(), ","), processIDs(running))
}

// processIDs returns the process IDs of a fleet, separated by spaces.
func processIDs(running *fleet.Fleet) string {
	var list []string
	for _, process := range running.Processes() {
		list = append(list, strconv.Itoa(process.Pid()))
	}
	return strings.Join(list, " ")
}
