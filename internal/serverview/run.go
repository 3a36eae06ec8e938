package serverview

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// Intervals of the owner goroutine.
const (
	// pollTick is how often due polls are started.
	pollTick = 50 * time.Millisecond
	// healthInterval is how often health is evaluated.
	healthInterval = time.Second
	// platformListInterval is how often the platform's machine list is read.
	platformListInterval = time.Second
	// idleCloseInterval is how often idle connections are closed.
	idleCloseInterval = 5 * time.Second
)

var errUnexpectedStatus = errors.New("server answered with a status other than 200")

// Run polls servers and updates the view until the context ends.
func (v *View) Run(ctx context.Context) {
	polls := make(chan pollResult)
	lists := make(chan machineList)
	readinessResults := make(chan readiness)
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	var evaluated, listed, expired time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case found := <-v.outcomes:
			v.recordOutcome(found)
		case result := <-polls:
			v.finishPoll(ctx, result, time.Now())
		case result := <-readinessResults:
			v.mergeReadiness(result)
		case list := <-lists:
			v.mergeMachineList(list)
		case <-ticker.C:
			v.startPolls(ctx, polls)
			v.startReadinessChecks(ctx, readinessResults)
			now := v.now()
			if now-evaluated >= healthInterval {
				evaluated = now
				v.evaluate()
				v.startTrials(ctx)
			}
			if v.options.PlatformURL != "" && now-listed >= platformListInterval {
				listed = now
				go v.readPlatform(ctx, lists)
			}
			if now-expired >= idleCloseInterval {
				expired = now
				v.options.Client.Expire(time.Now())
			}
		}
	}
}

func (v *View) startPolls(ctx context.Context, results chan<- pollResult) {
	for _, task := range v.duePolls() {
		go func() {
			result := v.poll(ctx, task)
			select {
			case results <- result:
			case <-ctx.Done():
			}
		}()
	}
}

func (v *View) startTrials(ctx context.Context) {
	for _, target := range v.dueTrials() {
		go func() {
			found := v.probe(ctx, target)
			select {
			case v.outcomes <- found:
			case <-ctx.Done():
			}
		}()
	}
}

// machineList is the platform's list of machines.
type machineList struct {
	Machines []struct {
		Address string `json:"address"`
		State   string `json:"state"`
	} `json:"machines"`
}

// machineStateLeaving is the state of a leaving machine in the platform's list.
const machineStateLeaving = "leaving"

// readPlatform reads the platform's machine list. A failed read is ignored.
func (v *View) readPlatform(ctx context.Context, lists chan<- machineList) {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, v.options.PlatformURL+"/machines", nil)
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var list machineList
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&list) != nil {
		return
	}
	select {
	case lists <- list:
	case <-ctx.Done():
	}
}

// mergeMachineList merges one list of the platform.
func (v *View) mergeMachineList(list machineList) {
	states := make(map[string]string, len(list.Machines))
	for _, machine := range list.Machines {
		states[machine.Address] = machine.State
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, e := range v.entries {
		state, present := states[e.address]
		e.leaving.applyList(present, state == machineStateLeaving)
		v.publish(e)
	}
}
