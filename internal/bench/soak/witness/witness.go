// Package witness holds what the callers and the back ends of a soak saw, and
// judges it by what must always hold. It knows nothing of the processes between
// them. It is safe for concurrent use; times are arguments.
package witness

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Rule names something that must always hold.
type Rule string

// The rules.
const (
	// RanTwice: a request that may run once ran more often.
	RanTwice Rule = "ran twice"
	// RefusedButRan: a request that was refused as not run has run.
	RefusedButRan Rule = "refused, but ran"
	// WrongAnswer: a caller got an answer that is not the whole answer to its request.
	WrongAnswer Rule = "wrong answer"
	// Denied: a proper request was refused as improper.
	Denied Rule = "denied"
	// JobLost: a job that was accepted is not known.
	JobLost Rule = "job lost"
	// ItemLost: an item of an open job has no result at the end.
	ItemLost Rule = "item lost"
	// ResultChanged: a position of a job shows another result than before.
	ResultChanged Rule = "result changed"
	// ResultWrong: a result is not what the item's back end made.
	ResultWrong Rule = "result wrong"
	// ItemDuplicated: an item has two positions.
	ItemDuplicated Rule = "item twice"
	// RanAfterEnd: an item was begun long after the end of its job was acknowledged.
	RanAfterEnd Rule = "ran after end"
	// RefusedJobRan: an item ran although its job was refused each time.
	RefusedJobRan Rule = "refused job ran"
	// ConfigurationOld: a read shows an older configuration than was acknowledged.
	ConfigurationOld Rule = "configuration old"
	// ConfigurationReverted: a process went back to an older configuration.
	ConfigurationReverted Rule = "configuration reverted"
	// ConfigurationLate: a configuration is not in force in calm times.
	ConfigurationLate Rule = "configuration late"
	// DrainedServerUsed: a server that has left got a new request in calm times.
	DrainedServerUsed Rule = "leaving server used"
	// LiveServerUnused: a server that runs and reports gets no requests in calm times.
	LiveServerUnused Rule = "live server forgotten"
	// MemoryExceeded: a process keeps more than the memory that its settings give it.
	MemoryExceeded Rule = "memory exceeded"
	// QuarantinedButRan: a request under which three back ends have ended runs on and on.
	QuarantinedButRan Rule = "held, but ran"
	// NoRecovery: requests are not served once everything runs again.
	NoRecovery Rule = "no recovery"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule    Rule          `json:"rule"`
	Subject string        `json:"subject"`
	Detail  string        `json:"detail"`
	At      time.Duration `json:"at"`
}

// maximumViolations bounds the violations that are kept.
const maximumViolations = 50

// endGrace is how long after the acknowledged end of a job one of its items may
// still be begun.
const endGrace = 3 * time.Second

// Witness gathers what was seen. Times are durations since the soak began.
type Witness struct {
	mutex      sync.Mutex
	requests   map[string]*request
	jobs       map[string]*job
	enders     map[string]*ender
	tenants    map[string]*tenant
	violations []Violation
	counts     map[string]int
}

// ender is a content that ends each back end that runs it.
type ender struct {
	ends int
	// convictedAt is when the third back end ended.
	convictedAt time.Duration
	// late counts the runs in calm times that began later than all may be bound to know.
	late int
}

const (
	// endsToHold is how many back ends have to end under a content before the site is bound
	// to know, knownWithin how long that may take, and lateRuns how many more runs of it the
	// site may try.
	endsToHold  = 3
	knownWithin = 4 * time.Second
	lateRuns    = 3
)

// request is one online request.
type request struct {
	once    bool
	runs    []string
	refused bool
}

// job is one batch job with what was seen of it.
type job struct {
	items    map[string]*item
	accepted bool
	// doubt tells that an attempt to submit it had no clear answer.
	doubt     bool
	endSought bool
	ended     bool
	endedAt   time.Duration
	positions []Result
}

// item is one item of a job.
type item struct {
	text   string
	poison bool
	runs   int
	placed bool
}

// Result is one result as a reader sees it.
type Result struct {
	item string
	done bool
	text string
}

// NewResult describes a result: done with a text, or dead.
func NewResult(item string, done bool, text string) Result {
	return Result{item: item, done: done, text: text}
}

// New returns a witness that has seen nothing.
func New() *Witness {
	return &Witness{
		requests: make(map[string]*request), jobs: make(map[string]*job), enders: make(map[string]*ender),
		tenants: make(map[string]*tenant), counts: make(map[string]int),
	}
}

// Report notes a breach that its observer judged itself.
func (w *Witness) Report(rule Rule, subject, detail string, at time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.report(rule, subject, detail, at)
}

func (w *Witness) report(rule Rule, subject, detail string, at time.Duration) {
	w.counts["violations"]++
	if len(w.violations) < maximumViolations {
		w.violations = append(w.violations, Violation{Rule: rule, Subject: subject, Detail: detail, At: at})
	}
}

// Count adds to a figure of the report.
func (w *Witness) Count(figure string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counts[figure]++
}

// Sent notes that a caller sends a request under an identifier of its own.
func (w *Witness) Sent(id string, once bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.request(id).once = once
}

func (w *Witness) request(id string) *request {
	if w.requests[id] == nil {
		w.requests[id] = &request{}
	}
	return w.requests[id]
}

// Ran notes that a back end began to work on an online request.
func (w *Witness) Ran(id, server string, at time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	seen := w.request(id)
	seen.runs = append(seen.runs, server)
	if seen.once && len(seen.runs) == 2 {
		w.report(RanTwice, id, "at "+strings.Join(seen.runs, " and "), at)
	}
	if seen.refused {
		w.report(RefusedButRan, id, "it ran at "+server+" after the refusal", at)
	}
}

// BackendCrashed notes that a content has ended a back end. Calm tells that nothing has
// disturbed the processes lately.
func (w *Witness) BackendCrashed(content, server string, at time.Duration, calm bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.counts["back ends ended by requests"]++
	seen := w.enders[content]
	if seen == nil {
		seen = &ender{}
		w.enders[content] = seen
	}
	seen.ends++
	if seen.ends == endsToHold {
		seen.convictedAt = at
	}
	if seen.ends <= endsToHold || !calm || at-seen.convictedAt < knownWithin {
		return
	}
	seen.late++
	if seen.late == lateRuns+1 {
		w.report(QuarantinedButRan, content, fmt.Sprintf("%d back ends ended, the third at %v, the last one is %s", seen.ends, seen.convictedAt, server), at)
	}
}

// Refused notes that a caller was told that its request has not run.
func (w *Witness) Refused(id string, at time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	seen := w.request(id)
	seen.refused = true
	if len(seen.runs) > 0 {
		w.report(RefusedButRan, id, "it had run at "+seen.runs[0], at)
	}
}

// Submitting notes a job that is about to be submitted: the expected text of each
// item, empty for one that no back end can do.
func (w *Witness) Submitting(id string, texts map[string]string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	made := &job{items: make(map[string]*item)}
	for name, text := range texts {
		made.items[name] = &item{text: text, poison: text == ""}
	}
	w.jobs[id] = made
}

// Accepted notes that a job was accepted.
func (w *Witness) Accepted(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.jobs[id].accepted = true
}

// SubmissionUncertain notes that an attempt to submit a job had no clear answer.
func (w *Witness) SubmissionUncertain(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.jobs[id].doubt = true
}

// Ending notes that a caller begins to end a job: its items owe nothing more.
func (w *Witness) Ending(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.jobs[id].endSought = true
}

// Ended notes that the end of a job was acknowledged.
func (w *Witness) Ended(id string, at time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.jobs[id].ended, w.jobs[id].endedAt = true, at
}

// ItemRan notes that a back end began to work on an item.
func (w *Witness) ItemRan(jobID, itemID, server string, at time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found := w.jobs[jobID]
	if found == nil || found.items[itemID] == nil {
		w.report(WrongAnswer, itemID, "a back end got an item that nobody submitted, of job "+jobID, at)
		return
	}
	found.items[itemID].runs++
	w.counts["item runs"]++
	if found.ended && at > found.endedAt+endGrace {
		w.report(RanAfterEnd, itemID, fmt.Sprintf("at %s, %s after the end of job %s", server, at-found.endedAt, jobID), at)
	}
}

// JobNotFound notes that a reader was told that an accepted job does not exist.
func (w *Witness) JobNotFound(id, detail string, at time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.jobs[id].accepted {
		w.report(JobLost, id, detail, at)
	}
}

// Results notes the results of a job that a reader saw from a position on.
func (w *Witness) Results(id string, from int, seen []Result, at time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found := w.jobs[id]
	for offset, result := range seen {
		position := from + offset
		switch {
		case position < len(found.positions):
			if found.positions[position] != result {
				w.report(ResultChanged, id, fmt.Sprintf("position %d was %+v and is %+v", position, found.positions[position], result), at)
			}
		case position == len(found.positions):
			found.positions = append(found.positions, result)
			w.place(id, found, result, at)
		}
	}
}

// place judges a result that is seen for the first time.
func (w *Witness) place(id string, found *job, result Result, at time.Duration) {
	expected := found.items[result.item]
	if expected == nil {
		w.report(ResultWrong, id, "it lists item "+result.item+", which is not its own", at)
		return
	}
	if expected.placed {
		w.report(ItemDuplicated, id, "it lists item "+result.item+" again", at)
	}
	expected.placed = true
	switch {
	case result.done && (expected.poison || result.text != expected.text):
		w.report(ResultWrong, id, fmt.Sprintf("item %s is done with %q, want %q", result.item, result.text, expected.text), at)
	case !result.done && !expected.poison && !found.endSought:
		w.report(ResultWrong, id, "item "+result.item+" is dead", at)
	}
	w.counts["results"]++
}

// Open lists the accepted jobs that nobody ended and that lack results.
func (w *Witness) Open() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var open []string
	for id, each := range w.jobs {
		if each.accepted && !each.endSought && len(each.positions) < len(each.items) {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	return open
}

// Jobs lists the accepted jobs.
func (w *Witness) Jobs() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var accepted []string
	for id, each := range w.jobs {
		if each.accepted {
			accepted = append(accepted, id)
		}
	}
	slices.Sort(accepted)
	return accepted
}

// Finish judges what can be judged at the end only.
func (w *Witness) Finish(at time.Duration) {
	for _, id := range w.Open() {
		w.mutex.Lock()
		found := w.jobs[id]
		w.report(ItemLost, id, fmt.Sprintf("%d of %d items have a result", len(found.positions), len(found.items)), at)
		w.mutex.Unlock()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.judgeRates()
	for id, each := range w.jobs {
		for name, one := range each.items {
			if one.runs > 0 && !each.accepted && !each.doubt {
				w.report(RefusedJobRan, id, "item "+name+" ran", at)
			}
		}
	}
}

// Violations are the breaches seen, the first ones only where there are many.
func (w *Witness) Violations() []Violation {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.violations)
}

// Counts are the figures of the report.
func (w *Witness) Counts() map[string]int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	counts := make(map[string]int, len(w.counts))
	for figure, count := range w.counts {
		counts[figure] = count
	}
	return counts
}
