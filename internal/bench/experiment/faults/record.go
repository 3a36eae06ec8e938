package faults

import (
	"fmt"
	"sync"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/engine"
)

// job is a submitted job with its expected results.
type job struct {
	id        string
	clientKey string
	items     []expectedItem
	// cancelled is set once a cancellation was confirmed.
	cancelled bool
	// completedAtCancel is the number of completed items in that confirmation.
	completedAtCancel int
}

// expectedItem is one item with its expected output.
type expectedItem struct {
	customID string
	text     string
}

// record collects what the clients observed. The final checks compare the state of
// the system with it.
type record struct {
	mutex sync.Mutex
	jobs  []*job
	// chatsNotRun are the IDs of online requests that were answered "not run".
	chatsNotRun []string
	// servicesSent are the idempotency keys of service requests; servicesNotRun
	// those of requests that were answered "not run" on every attempt.
	servicesSent   []string
	servicesNotRun []string
	counts         counts
}

// counts are totals of the outcomes that clients and the watcher observed.
type counts struct {
	OnlineAnswers          int `json:"online_answers"`
	OnlineRefused          int `json:"online_refused_not_run"`
	OnlineUnknown          int `json:"online_outcome_unknown"`
	OnlineCutTyped         int `json:"online_cut_with_typed_error"`
	OnlineCutUntyped       int `json:"online_cut_by_killed_gateway"`
	ServiceAnswers         int `json:"service_answers"`
	ServiceUnknown         int `json:"service_outcome_unknown"`
	WrongAnswers           int `json:"wrong_answers"`
	CutStreamsPlannedStop  int `json:"cut_streams_on_planned_stop"`
	JobsAccepted           int `json:"jobs_accepted"`
	JobsCancelled          int `json:"jobs_cancelled"`
	JobResends             int `json:"job_resends"`
	JobResendsOtherAnswer  int `json:"job_resends_with_another_job"`
	ConfigurationsAccepted int `json:"configurations_accepted"`
	ConfigurationConflicts int `json:"configuration_conflicts"`
	ConfigReverts          int `json:"config_reverts"`
	ItemsAfterCancel       int `json:"items_completed_after_cancel"`
	LateConfiguration      int `json:"configuration_late"`
}

func (r *record) count(change func(*counts)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.counts)
}

func (r *record) addJob(submitted *job) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.jobs = append(r.jobs, submitted)
	r.counts.JobsAccepted++
}

func (r *record) allJobs() []*job {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]*job(nil), r.jobs...)
}

// newJob creates a job of count items with distinct prompts, and its input file.
func newJob(model string, number, count, maxTokens int) (*job, []byte, error) {
	created := &job{clientKey: fmt.Sprintf("job-key-%d", number)}
	items := make([]caller.Item, 0, count)
	for index := range count {
		content := fmt.Sprintf("job %d item %d: rebuild the plan", number, index)
		item := caller.ChatItem(index, model, content, maxTokens)
		items = append(items, item)
		created.items = append(created.items, expectedItem{
			customID: item.CustomID,
			text:     engine.ExpectedText(engine.UserPrompt(content), maxTokens),
		})
	}
	input, err := caller.BatchInput(items)
	return created, input, err
}
