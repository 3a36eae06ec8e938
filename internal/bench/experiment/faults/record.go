package faults

import (
	"fmt"
	"sync"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/engine"
)

// job is what the experiment knows of one job that it submitted.
type job struct {
	id        string
	clientKey string
	items     []itemWanted
	// cancelled is set once a cancel was answered with a cancelled job.
	cancelled bool
	// completedAtCancel is how many items the cancel answer counted.
	completedAtCancel int
}

// itemWanted is one item and the answer that it must have.
type itemWanted struct {
	customID string
	text     string
}

// record is what all clients have seen, the oracle of the final check.
type record struct {
	mutex sync.Mutex
	jobs  []*job
	// chatsNotRun are identities of online requests whose final answer was
	// "not run".
	chatsNotRun []string
	// servicesSent are the idempotency keys of requests that may not be
	// repeated; servicesNotRun those whose every answer was "not run".
	servicesSent   []string
	servicesNotRun []string
	// counts of what was seen while running.
	counts counts
}

// counts are the totals that clients keep while they run.
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

func (r *record) addJob(accepted *job) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.jobs = append(r.jobs, accepted)
	r.counts.JobsAccepted++
}

func (r *record) allJobs() []*job {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]*job(nil), r.jobs...)
}

// newJob makes a job of count items with distinct prompts, and its input file.
func newJob(model string, number, count, maxTokens int) (*job, []byte, error) {
	made := &job{clientKey: fmt.Sprintf("job-key-%d", number)}
	items := make([]caller.Item, 0, count)
	for index := range count {
		content := fmt.Sprintf("job %d item %d: rebuild the plan", number, index)
		item := caller.ChatItem(index, model, content, maxTokens)
		items = append(items, item)
		made.items = append(made.items, itemWanted{
			customID: item.CustomID,
			text:     engine.ExpectedText(engine.UserPrompt(content), maxTokens),
		})
	}
	input, err := caller.BatchInput(items)
	return made, input, err
}
