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

// chooser implements upstream.Chooser for one online request.
type chooser struct {
	view   *serverview.View
	wanted serverview.Requirements
	// body is sent with the name of the chosen version if the model has several.
	body         []byte
	versionCount int
	// streamed is set if the response is relayed as a stream of tokens.
	streamed bool

	// hedgePolicy decides when a second attempt starts in parallel to a slow one.
	hedgePolicy admission.HedgePolicy
	// repeatable is set if the request may run more than once.
	repeatable bool

	mutex sync.Mutex
	// attempts are in progress. There is more than one only until the first response
	// begins.
	attempts []runningAttempt
	// reportedTokens is the number of tokens reported to the view.
	reportedTokens uint64
}

// runningAttempt is an attempt in progress.
type runningAttempt struct {
	target  upstream.Target
	attempt serverview.Attempt
	// firstTokenReported is set once View.FirstToken was called for the attempt.
	firstTokenReported bool
}

// Choose implements upstream.Chooser.
func (c *chooser) Choose(_ context.Context, tried []string) (upstream.Target, error) {
	choice, err := c.view.Choose(c.wanted, tried)
	if err != nil {
		return upstream.Target{}, err
	}
	target := choice.Target
	if c.versionCount > 1 && c.wanted.Adapter == "" && c.body != nil {
		if body, rewriteErr := withModel(c.body, choice.Version); rewriteErr == nil {
			target.Body = body
		}
	}
	if after, ok := admission.HedgeAfter(c.hedgePolicy, c.repeatable && c.streamed, choice.Wait); ok {
		target.HedgeAfter = after
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attempts = append(c.attempts, runningAttempt{target: target, attempt: choice.Attempt})
	return target, nil
}

// Ended implements upstream.Chooser.
func (c *chooser) Ended(target upstream.Target, report upstream.Report) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index := range c.attempts {
		current := &c.attempts[index]
		if current.target.Name != target.Name {
			continue
		}
		c.reportFirstToken(current, false)
		c.view.RecordEnd(target, current.attempt, report)
		c.attempts = slices.Delete(c.attempts, index, index+1)
		return
	}
}

// reportFirstToken reports to the view, once per attempt, whether the first token was
// received. The caller holds the mutex.
func (c *chooser) reportFirstToken(current *runningAttempt, received bool) {
	if current.firstTokenReported {
		return
	}
	current.firstTokenReported = true
	c.view.RecordFirstToken(current.target, current.attempt, c.streamed, received)
}

// responseBegun reports the first token to the view. By then the attempt whose
// response is relayed is the only one in progress.
func (c *chooser) responseBegun() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.attempts) == 1 {
		c.reportFirstToken(&c.attempts[0], true)
	}
}

// tokensRelayed reports the tokens up to the given sequence number to the view.
func (c *chooser) tokensRelayed(sequence uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if sequence <= c.reportedTokens || len(c.attempts) != 1 {
		return
	}
	count := sequence - c.reportedTokens
	c.reportedTokens = sequence
	if current := &c.attempts[0]; current.attempt.IsSampled() {
		c.view.RecordTokens(current.target, current.attempt, int(count))
	}
}

// admit returns a fault if the request is not expected to start in time.
func (g *Gateway) admit(wanted serverview.Requirements, within time.Duration) error {
	policy := admission.DefaultPolicy
	if timeout := g.follower.Current().Policy().GetOnlineQueueTimeout().AsDuration(); timeout > 0 {
		policy.QueueTimeout = timeout
	}
	wait, found := g.view.Estimate(wanted)
	decision := admission.Decide(policy, admission.Estimate{Wait: wait, Found: found}, within, 0)
	if decision.Admit() {
		return nil
	}
	kind, message := fault.Overloaded, "the request can't start in time"
	if decision.Reason == admission.NoBackEnd {
		kind, message = fault.Unavailable, "no back end can take the request now"
	}
	return fault.New(kind, message, "send the request again after the time in Retry-After").
		WithRan(fault.NotRun).WithRetryAfter(decision.RetryAfter)
}

// retryRatio returns the number of retries allowed per request.
func retryRatio(policy *rockwindpb.Policy) float64 {
	if ratio := policy.GetRetryRatio(); ratio > 0 {
		return ratio
	}
	return upstream.DefaultRetryRatio
}
