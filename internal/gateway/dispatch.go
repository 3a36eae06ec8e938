package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/admission"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/upstream"
)

// chooser picks back ends for one online request from the view.
type chooser struct {
	view   *serverview.View
	wanted serverview.Requirements
	// body is rewritten for the version drawn where the model has several.
	body     []byte
	versions int
	// streamed tells that the answer is a stream of tokens.
	streamed bool

	// hedge says when a second attempt starts beside a slow one.
	hedge admission.HedgePolicy
	// repeatable tells that the request may run more than once.
	repeatable bool

	mutex sync.Mutex
	// open holds the attempts that have not ended; more than one only until the
	// head of an answer.
	open []openAttempt
	// tokens is the number of tokens that the view was told of.
	tokens uint64
}

// openAttempt is an attempt that has not ended.
type openAttempt struct {
	target  upstream.Target
	attempt serverview.Attempt
	// firstToken is set once the prompt was processed.
	firstToken bool
}

// Choose implements upstream.Chooser.
func (c *chooser) Choose(_ context.Context, tried []string) (upstream.Target, error) {
	choice, err := c.view.Choose(c.wanted, tried)
	if err != nil {
		return upstream.Target{}, err
	}
	target := choice.Target
	if c.versions > 1 && c.wanted.Adapter == "" && c.body != nil {
		if body, rewriteErr := withModel(c.body, choice.Version); rewriteErr == nil {
			target.Body = body
		}
	}
	if after, ok := admission.HedgeAfter(c.hedge, c.repeatable && c.streamed, choice.Wait); ok {
		target.HedgeAfter = after
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open = append(c.open, openAttempt{target: target, attempt: choice.Attempt})
	return target, nil
}

// Ended implements upstream.Chooser.
func (c *chooser) Ended(target upstream.Target, report upstream.Report) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index := range c.open {
		current := &c.open[index]
		if current.target.Name != target.Name {
			continue
		}
		c.firstTokenOver(current, false)
		c.view.RecordEnded(target, current.attempt, report)
		c.open = slices.Delete(c.open, index, index+1)
		return
	}
}

// firstTokenOver tells the view, once per attempt, that the wait for the first
// token is over, and whether the token came. The caller holds the lock.
func (c *chooser) firstTokenOver(current *openAttempt, came bool) {
	if current.firstToken {
		return
	}
	current.firstToken = true
	c.view.RecordFirstToken(current.target, current.attempt, c.streamed, came)
}

// tokenSeen tells the view that the prompt was processed. By then the attempt
// that answers is the only one that has not ended.
func (c *chooser) tokenSeen() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.open) == 1 {
		c.firstTokenOver(&c.open[0], true)
	}
}

// relayed tells the view how far the stream has come.
func (c *chooser) relayed(sequence uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if sequence <= c.tokens || len(c.open) != 1 {
		return
	}
	count := sequence - c.tokens
	c.tokens = sequence
	if current := &c.open[0]; current.attempt.Leads() {
		c.view.RecordTokens(current.target, current.attempt, int(count))
	}
}

// admit refuses a request at once that can't start in time.
func (g *Gateway) admit(wanted serverview.Requirements, within time.Duration) error {
	policy := admission.DefaultPolicy
	if timeout := g.follower.Current().Policy().GetOnlineQueueTimeout().AsDuration(); timeout > 0 {
		policy.QueueTimeout = timeout
	}
	wait, found := g.view.Estimate(wanted)
	verdict := admission.Decide(policy, admission.Estimate{Wait: wait, Found: found}, within, 0)
	if verdict.Admit() {
		return nil
	}
	kind, message := fault.Overloaded, "the request can't start in time"
	if verdict.Reason == admission.NoBackEnd {
		kind, message = fault.Unavailable, "no back end can take the request now"
	}
	return fault.New(kind, message, "send the request again after the time in Retry-After").
		WithRan(fault.NotRun).WithRetryAfter(verdict.RetryAfter)
}

// retryRatio is the retries allowed per first attempt.
func retryRatio(policy *rockwindpb.Policy) float64 {
	if ratio := policy.GetRetryRatio(); ratio > 0 {
		return ratio
	}
	return upstream.DefaultRetryRatio
}
