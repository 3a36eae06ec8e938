package serverview

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// Timing of the owner goroutine.
const (
	// tick is how often due polls are looked for.
	tick = 50 * time.Millisecond
	// evaluateEvery is how often health is evaluated.
	evaluateEvery = time.Second
	// platformEvery is how often the platform's list is read.
	platformEvery = time.Second
	// expireEvery is how often idle connections are closed.
	expireEvery = 5 * time.Second
)

// errStatus is the failure of a poll with another status than 200.
var errStatus = errors.New("the server answered with another status than 200")

// Run owns the view until the context ends: it polls, judges and merges.
func (v *View) Run(ctx context.Context) {
	polls := make(chan pollResult)
	lists := make(chan machineList)
	answers := make(chan readiness)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var evaluated, listed, expired time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case found := <-v.outcomes:
			v.record(found)
		case result := <-polls:
			v.took(ctx, result, time.Now())
		case answer := <-answers:
			v.learnReady(answer)
		case list := <-lists:
			v.listed(list)
		case <-ticker.C:
			v.startPolls(ctx, polls)
			v.startQuestions(ctx, answers)
			now := v.now()
			if now-evaluated >= evaluateEvery {
				evaluated = now
				v.evaluate()
				v.startTrials(ctx)
			}
			if v.options.PlatformURL != "" && now-listed >= platformEvery {
				listed = now
				go v.readPlatform(ctx, lists)
			}
			if now-expired >= expireEvery {
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

// stateLeaving marks a leaving machine in the platform's list.
const stateLeaving = "leaving"

// readPlatform reads the list; a failure leaves things as they are.
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

// listed merges one list of the platform.
func (v *View) listed(list machineList) {
	states := make(map[string]string, len(list.Machines))
	for _, machine := range list.Machines {
		states[machine.Address] = machine.State
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, e := range v.entries {
		state, named := states[e.address]
		e.leaving.shown(named, state == stateLeaving)
		v.publish(e)
	}
}
