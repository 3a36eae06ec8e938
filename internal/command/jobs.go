package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/fault"
)

// jobsCommand is 'rockwind jobs'.
type jobsCommand struct {
	Submit  jobsSubmit  `cmd:"" help:"Submit a file of requests as a batch job, through a gateway."`
	List    jobsList    `cmd:"" help:"List the jobs."`
	Show    jobsShow    `cmd:"" help:"Show one job."`
	Results jobsResults `cmd:"" help:"Print the results of a job in the order of its items."`
	Cancel  jobsCancel  `cmd:"" help:"Cancel a job."`
}

// jobSource holds the flags that select how jobs are accessed: through a gateway as a
// tenant with an API key, or directly at the control machines.
type jobSource struct {
	Gateway string `env:"ROCKWIND_GATEWAY" placeholder:"URL" help:"Gateway to ask, for example http://10.0.0.1:8080, with an API key. Without it the control machines are asked."`
	APIKey  string `name:"api-key" env:"ROCKWIND_API_KEY" placeholder:"KEY" help:"API key of the tenant, for a gateway; better set in the environment than on the command line."`
	Tenant  string `placeholder:"NAME" help:"Only the jobs of this tenant, when the control machines are asked."`
}

// job is the printed form of a batch job.
type job struct {
	ID         string `json:"id"`
	Tenant     string `json:"tenant,omitempty"`
	Class      string `json:"batch_class,omitempty"`
	Model      string `json:"model,omitempty"`
	State      string `json:"state"`
	Items      int64  `json:"items"`
	Completed  int64  `json:"completed"`
	Failed     int64  `json:"failed"`
	AcceptedMs int64  `json:"accepted_unix_ms"`
	DeadlineMs int64  `json:"deadline_unix_ms,omitempty"`
	EndedMs    int64  `json:"ended_unix_ms,omitempty"`
	ExpectedMs int64  `json:"estimated_end_unix_ms,omitempty"`
	InputFile  string `json:"input_file,omitempty"`
}

// jobAccess reads and cancels jobs.
type jobAccess interface {
	list(ctx context.Context, after string, limit int) ([]job, error)
	show(ctx context.Context, id string) (job, error)
	cancel(ctx context.Context, id string) (job, error)
	// results writes the results to output, one item per line, and reports progress.
	results(ctx context.Context, id string, output io.Writer, progress *progress) error
}

func (j *jobSource) access(s *session) (jobAccess, error) {
	if j.Gateway != "" {
		return newGatewayJobs(s, j.Gateway, j.APIKey)
	}
	return newControlJobs(s, j.Tenant)
}

// maximumListLimit bounds the jobs of one list.
const maximumListLimit = 100

// jobsList is 'rockwind jobs list' and 'rockwind get jobs'.
type jobsList struct {
	jobSource
	Limit int    `default:"100" help:"How many jobs to list."`
	After string `placeholder:"ID" help:"List the jobs that follow this one."`
}

// Run lists jobs.
func (l *jobsList) Run(s *session) error {
	access, err := l.access(s)
	if err != nil {
		return err
	}
	if l.Limit < 1 || l.Limit > maximumListLimit {
		return fault.Newf(fault.InvalidArgument, fmt.Sprintf("write a number from 1 to %d, and list further with --after", maximumListLimit),
			"--limit is %d", l.Limit)
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	jobs, err := access.list(ctx, l.After, l.Limit)
	if err != nil {
		return err
	}
	listing := &table{header: []string{"JOB", "TENANT", "CLASS", "MODEL", "STATE", "ITEMS", "DONE", "FAILED", "ACCEPTED", "EXPECTED END", "DEADLINE"}}
	for _, each := range jobs {
		listing.add(each.ID, orDash(each.Tenant), orDash(each.Class), orDash(each.Model), each.State, number(each.Items),
			number(each.Completed), number(each.Failed), timeText(each.AcceptedMs),
			timeText(each.ExpectedMs), timeText(each.DeadlineMs))
	}
	return s.printer.print(jobs, listing)
}

// jobsShow is 'rockwind jobs show'.
type jobsShow struct {
	jobSource
	ID string `arg:"" help:"Identifier of the job."`
}

// Run shows one job.
func (j *jobsShow) Run(s *session) error {
	access, err := j.access(s)
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	found, err := access.show(ctx, j.ID)
	if err != nil {
		return err
	}
	return s.printer.print(found, jobTable(found))
}

func jobTable(shown job) *table {
	listing := &table{header: []string{"FIELD", "VALUE"}}
	listing.add("job", shown.ID)
	listing.add("tenant", orDash(shown.Tenant))
	listing.add("batch class", orDash(shown.Class))
	listing.add("model", orDash(shown.Model))
	listing.add("state", shown.State)
	listing.add("items", fmt.Sprintf("%d, of which %d completed and %d failed", shown.Items, shown.Completed, shown.Failed))
	listing.add("accepted", timeText(shown.AcceptedMs))
	listing.add("deadline", timeText(shown.DeadlineMs))
	listing.add("expected end", timeText(shown.ExpectedMs))
	listing.add("ended", timeText(shown.EndedMs))
	return listing
}

// jobsCancel is 'rockwind jobs cancel'.
type jobsCancel struct {
	jobSource
	ID string `arg:"" help:"Identifier of the job."`
}

// Run cancels the job. A completed job stays completed.
func (j *jobsCancel) Run(s *session) error {
	access, err := j.access(s)
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	after, err := access.cancel(ctx, j.ID)
	if err != nil {
		return err
	}
	return s.printer.line(after, "job %s is %s (%d of %d items completed)", after.ID, after.State, after.Completed, after.Items)
}

// jobsResults is 'rockwind jobs results'.
type jobsResults struct {
	jobSource
	ID string `arg:"" help:"Identifier of the job."`
}

// Help implements kong.HelpProvider.
func (*jobsResults) Help() string {
	return `Prints one JSON object a line. From the control machines, results come in the order of the items, also while
the job runs. From a gateway they come when the job has ended: completed items first, then failed ones. How
many items have no result is said at the end on the error output, which shows the progress of long outputs.`
}

// Run prints the results. The timeout applies to each page, not to the whole command.
func (j *jobsResults) Run(s *session) error {
	access, err := j.access(s)
	if err != nil {
		return err
	}
	return access.results(s.context, j.ID, s.printer.output, newProgress(s.stderr))
}

// progress reports the progress of a long command on standard error.
type progress struct {
	output io.Writer
	last   time.Time
}

const progressInterval = time.Second

func newProgress(output io.Writer) *progress {
	return &progress{output: output, last: time.Now()}
}

// report writes a line, at most once per progressInterval.
func (p *progress) report(format string, arguments ...any) {
	if time.Since(p.last) < progressInterval {
		return
	}
	p.last = time.Now()
	p.note(format, arguments...)
}

func (p *progress) note(format string, arguments ...any) {
	fmt.Fprintf(p.output, format+"\n", arguments...)
}

// jobsSubmit is 'rockwind jobs submit'.
type jobsSubmit struct {
	Gateway  string            `required:"" env:"ROCKWIND_GATEWAY" placeholder:"URL" help:"Gateway to submit to, for example http://10.0.0.1:8080."`
	APIKey   string            `name:"api-key" required:"" env:"ROCKWIND_API_KEY" placeholder:"KEY" help:"API key of the tenant; better set in the environment than on the command line."`
	File     string            `short:"f" required:"" placeholder:"FILE" help:"Requests, one JSON object a line, in the published batch form; '-' reads the input."`
	Endpoint string            `default:"/v1/chat/completions" help:"Endpoint of all requests."`
	Class    string            `placeholder:"NAME" help:"Batch class, which decides deadline, tries and weight."`
	Key      string            `placeholder:"KEY" help:"Key under which a resend gets the same job. The default names the file, class, endpoint and metadata."`
	Metadata map[string]string `placeholder:"NAME=VALUE" help:"Pairs kept with the job."`
}

// Help implements kong.HelpProvider.
func (*jobsSubmit) Help() string {
	return `Submitting the same file with the same class again gives the same job; use --key to run it twice.`
}

// Run submits the job.
func (j *jobsSubmit) Run(s *session) error {
	jobs, err := newGatewayJobs(s, j.Gateway, j.APIKey)
	if err != nil {
		return err
	}
	data, err := s.readRequests(j.File)
	if err != nil {
		return err
	}
	if len(data) > largeUpload {
		newProgress(s.stderr).note("uploading %d MiB", len(data)>>20)
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	submitted, err := jobs.submit(ctx, j, data)
	if err != nil {
		return err
	}
	return s.printer.line(submitted, "job %s accepted with %d items (%s)", submitted.ID, submitted.Items, submitted.State)
}

// largeUpload is the size in bytes above which an upload is announced.
const largeUpload = 4 << 20

// stateName returns the printed name of a job state.
func stateName(state fmt.Stringer) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "JOB_STATE_"))
}

func requireAPIKey(apiKey string) error {
	if apiKey == "" {
		return fault.New(fault.InvalidArgument, "a gateway needs an API key", "set ROCKWIND_API_KEY or use --api-key")
	}
	return nil
}
