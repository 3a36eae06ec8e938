package serverview

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/upstream"
)

// Timing of polls.
const (
	// PollInterval is how often an owned server is asked for its load.
	PollInterval = time.Second
	// pollJitter is the part of the interval that is drawn at random.
	pollJitter = 0.2
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// firstPeersGrace is how long a gateway that has just started and knows no
	// peers leaves the polls to others: a control machine names them once it has
	// heard them all.
	firstPeersGrace = 3 * time.Second
	// orphanAge is the age of the last exchange and of a server's newest report
	// from which a server of the own zone is polled although another gateway owns
	// it. While exchanges go on, a server without news has not changed.
	orphanAge = 8 * time.Second
	// orphanInterval is how often such a server is polled.
	orphanInterval = 4 * time.Second
	// maximumReport bounds the answer to a poll or probe in bytes.
	maximumReport = 1 << 20
)

// pollResult is the answer to one poll.
type pollResult struct {
	server  string
	report  loadReport
	askedAt time.Duration
	cache   cacheAnswer
	ready   readiness
	err     error
}

// pollTask is a poll that is due.
type pollTask struct {
	target upstream.Target
	cache  cacheQuestion
	// ready asks the server whether it takes requests.
	ready bool
}

// duePolls lists the servers to be polled now.
func (v *View) duePolls() []pollTask {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	if len(v.peers) == 0 && now-v.startedAt < firstPeersGrace {
		return nil
	}
	var due []pollTask
	for _, e := range v.entries {
		if e.zone != v.options.Zone || e.polling || now < e.nextPoll {
			continue
		}
		interval := PollInterval
		if !e.own {
			if now-e.reportedAt < orphanAge || now-v.exchangedAt < orphanAge {
				continue
			}
			interval = orphanInterval
		}
		jitter := 1 + pollJitter*(2*v.random.Float64()-1)
		e.nextPoll = now + time.Duration(float64(interval)*jitter)
		e.polling = true
		task := pollTask{target: upstream.Target{Name: e.name, Address: e.address}, ready: e.lagging}
		if now >= e.nextCacheRead {
			task.cache = v.questionFor(e, now)
			e.nextCacheRead = now + CacheInterval
		}
		due = append(due, task)
	}
	return due
}

// poll asks one server for its load, and for its cache events where it is to.
func (v *View) poll(ctx context.Context, task pollTask) pollResult {
	result := pollResult{server: task.target.Name, askedAt: v.now()}
	body, status, err := v.get(ctx, task.target, "/load")
	if err == nil && status != http.StatusOK {
		err = errStatus
	}
	if err == nil {
		err = json.Unmarshal(body, &result.report)
	}
	result.err = err
	if err == nil && task.cache.read {
		result.cache = v.readCache(ctx, task.target, task.cache)
	}
	if err == nil && task.ready {
		result.ready = v.askReady(ctx, task.target)
	}
	return result
}

// probe asks an ejected server whether it takes requests, as its trial.
func (v *View) probe(ctx context.Context, target upstream.Target) evidence {
	_, status, err := v.get(ctx, target, "/readyz")
	found := evidence{server: target.Name, outcome: health.Success}
	if err != nil || status != http.StatusOK {
		found.outcome = health.Failure
	}
	return found
}

// get sends a small request and reads its answer.
func (v *View) get(ctx context.Context, target upstream.Target, path string) ([]byte, int, error) {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &upstream.Request{
		ID: "poll", Kind: upstream.Service, Method: http.MethodGet, Path: path, Repeatable: true,
		Timeouts: upstream.Timeouts{Connect: pollTimeout, FirstByte: pollTimeout},
	}
	response, err := v.options.Client.Do(bounded, target.Address, request, 0)
	if err != nil {
		return nil, 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body(pollTimeout), maximumReport))
	if err != nil {
		response.Abandon()
		return nil, 0, err
	}
	response.Finish()
	return body, response.Status, nil
}

// took merges the result of a poll. Only the owner goroutine calls it.
func (v *View) took(ctx context.Context, result pollResult, wall time.Time) {
	v.mutex.Lock()
	if e := v.byName[result.server]; e != nil {
		e.polling = false
		v.learnCache(e, result.cache)
	}
	v.mutex.Unlock()
	if result.err == nil {
		v.polled(result.server, result.report, result.askedAt, wall)
		v.learnReady(result.ready)
		return
	}
	if ctx.Err() == nil {
		v.record(evidence{server: result.server, outcome: health.Failure})
	}
}
