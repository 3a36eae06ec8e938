package serverview

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// PollInterval is how often an owned server's load is polled.
	PollInterval = time.Second
	// pollJitter is the fraction of the interval that is randomized.
	pollJitter = 0.2
	// pollTimeout limits one poll.
	pollTimeout = time.Second
	// peerDiscoveryGrace is how long a starting gateway that knows no peers
	// waits before it polls servers itself. The control machines name the peers
	// once all have connected.
	peerDiscoveryGrace = 3 * time.Second
	// orphanAge is the age of both the last exchange and a server's newest
	// report from which a server of the local zone is polled although another
	// gateway owns it. While exchanges succeed, a server without a new digest
	// has not changed.
	orphanAge = 8 * time.Second
	// orphanInterval is how often such a server is polled.
	orphanInterval = 4 * time.Second
	// maxResponseBytes limits the response to a poll or probe.
	maxResponseBytes = 1 << 20
)

// pollResult is the result of one poll.
type pollResult struct {
	server  string
	report  loadReport
	askedAt time.Duration
	cache   cacheResult
	ready   readiness
	err     error
}

type pollTask struct {
	target upstream.Target
	cache  cacheQuery
	// ready requests a readiness check.
	ready bool
}

// duePolls lists the servers to poll now.
func (v *View) duePolls() []pollTask {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	if len(v.peers) == 0 && now-v.startedAt < peerDiscoveryGrace {
		return nil
	}
	var due []pollTask
	for _, e := range v.entries {
		if e.zone != v.options.Zone || e.polling || now < e.nextPoll {
			continue
		}
		interval := PollInterval
		if !e.owned {
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
			task.cache = v.cacheQueryFor(e, now)
			e.nextCacheRead = now + CacheInterval
		}
		due = append(due, task)
	}
	return due
}

// poll reads a server's load, and its cache events and readiness if the task
// asks for them.
func (v *View) poll(ctx context.Context, task pollTask) pollResult {
	result := pollResult{server: task.target.Name, askedAt: v.now()}
	body, status, err := v.get(ctx, task.target, "/load")
	if err == nil && status != http.StatusOK {
		err = errUnexpectedStatus
	}
	if err == nil {
		err = json.Unmarshal(body, &result.report)
	}
	result.err = err
	if err == nil && task.cache.read {
		result.cache = v.readCache(ctx, task.target, task.cache)
	}
	if err == nil && task.ready {
		result.ready = v.checkReadiness(ctx, task.target)
	}
	return result
}

// probe checks the readiness of an ejected server, as its trial.
func (v *View) probe(ctx context.Context, target upstream.Target) serverOutcome {
	_, status, err := v.get(ctx, target, "/readyz")
	found := serverOutcome{server: target.Name, outcome: health.Success}
	if err != nil || status != http.StatusOK {
		found.outcome = health.Failure
	}
	return found
}

// get sends a GET request and reads the response.
func (v *View) get(ctx context.Context, target upstream.Target, path string) ([]byte, int, error) {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &upstream.Request{
		ID: "poll-" + strconv.FormatUint(v.polls.Add(1), 10), Kind: upstream.Service, Method: http.MethodGet, Path: path, Repeatable: true,
		Timeouts: upstream.Timeouts{Connect: pollTimeout, FirstByte: pollTimeout},
	}
	response, err := v.options.Client.Do(bounded, target.Address, request, 0)
	if err != nil {
		return nil, 0, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body(pollTimeout), maxResponseBytes))
	if err == nil && len(body) == maxResponseBytes {
		err = fault.New(fault.Unavailable, "the response to a poll is too long", "look at the server")
	}
	if err != nil {
		response.Abandon()
		return nil, 0, err
	}
	response.Finish()
	return body, response.Status, nil
}

// finishPoll merges the result of a poll. Only the owner goroutine calls it.
func (v *View) finishPoll(ctx context.Context, result pollResult, wall time.Time) {
	v.mutex.Lock()
	if e := v.byName[result.server]; e != nil {
		e.polling = false
		v.mergeCache(e, result.cache)
	}
	v.mutex.Unlock()
	if result.err == nil {
		v.mergePolledReport(result.server, result.report, result.askedAt, wall)
		v.mergeReadiness(result.ready)
		return
	}
	if ctx.Err() == nil {
		v.recordOutcome(serverOutcome{server: result.server, outcome: health.Failure})
	}
}
