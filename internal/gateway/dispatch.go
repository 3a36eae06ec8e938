package gateway

import (
	"context"
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
	wanted serverview.Wanted
	// body is rewritten for the version drawn where the model has several.
	body     []byte
	versions int
	// streamed tells that the answer is a stream of tokens.
	streamed bool

	mutex sync.Mutex
	// firstToken is set once the prompt of the current attempt was processed.
	firstToken bool
	target     upstream.Target
	attempt    serverview.Attempt
	// tokens is the number of tokens that the view was told of.
	tokens uint64
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
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.target, c.attempt, c.firstToken = target, choice.Attempt, false
	return target, nil
}

// Ended implements upstream.Chooser.
func (c *chooser) Ended(target upstream.Target, report upstream.Report) {
	c.tokenSeen()
	c.view.Ended(target, c.attempt, report)
}

// tokenSeen tells the view, once per attempt, that the prompt was processed.
func (c *chooser) tokenSeen() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.firstToken {
		return
	}
	c.firstToken = true
	c.view.FirstToken(c.target, c.attempt, c.streamed)
}

// relayed tells the view how far the stream has come.
func (c *chooser) relayed(sequence uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if sequence <= c.tokens {
		return
	}
	count := sequence - c.tokens
	c.tokens = sequence
	if c.attempt.Leads() {
		c.view.Tokens(c.target, c.attempt, int(count))
	}
}

// admit refuses a request at once that can't start in time.
func (g *Gateway) admit(wanted serverview.Wanted, within time.Duration) error {
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
