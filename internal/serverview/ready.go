package serverview

import (
	"context"
	"net/http"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// laggingAge is the age of a load report from which an owned server is asked at
// each poll whether it takes requests, because its report tells so too late.
const laggingAge = 500 * time.Millisecond

// questionInterval is the least time between two questions to a server that
// refuses requests.
const questionInterval = time.Second

// readiness is what a server says of itself now; unlike a load report it does
// not lag.
type readiness struct {
	server  string
	askedAt time.Duration
	// known is false where the server gave no usable answer.
	known bool
	ready bool
}

// askReady asks a server whether it takes requests.
func (v *View) askReady(ctx context.Context, target upstream.Target) readiness {
	found := readiness{server: target.Name, askedAt: v.now()}
	_, status, err := v.get(ctx, target, "/readyz")
	if err != nil {
		return found
	}
	found.ready = status == http.StatusOK
	found.known = found.ready || status == http.StatusServiceUnavailable
	return found
}

// dueQuestions lists the servers that refused a request and are to be asked
// whether they take any.
func (v *View) dueQuestions() []upstream.Target {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	var due []upstream.Target
	for _, e := range v.entries {
		if !e.refused || now-e.questionAt < questionInterval {
			continue
		}
		e.refused = false
		if e.leaving.draining {
			continue
		}
		e.questionAt = now
		due = append(due, upstream.Target{Name: e.name, Address: e.address})
	}
	return due
}

// startQuestions asks the servers that refused a request.
func (v *View) startQuestions(ctx context.Context, answers chan<- readiness) {
	for _, target := range v.dueQuestions() {
		go func() {
			found := v.askReady(ctx, target)
			select {
			case answers <- found:
			case <-ctx.Done():
			}
		}()
	}
}

// learnReady merges what a server says of itself.
func (v *View) learnReady(found readiness) {
	if !found.known {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[found.server]
	if e == nil {
		return
	}
	before := e.leaving.draining
	e.leaving.said(!found.ready, found.askedAt)
	v.publish(e)
	if e.leaving.draining && !before {
		v.announce()
	}
}

// announce asks for an exchange at once.
func (v *View) announce() {
	select {
	case v.news <- struct{}{}:
	default:
	}
}

// ExchangeRequested tells that the next exchange must not wait for its time.
func (v *View) ExchangeRequested() <-chan struct{} {
	return v.news
}

// LeavingServers names the servers that told this gateway that they take no new work.
func (v *View) LeavingServers() []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var names []string
	for _, e := range v.entries {
		if e.leaving.draining {
			names = append(names, e.name)
		}
	}
	return names
}

// named merges the names of all leaving servers.
func (v *View) named(response *rockwindpb.ExchangeResponse) {
	names := response.GetLeaving()
	for _, e := range v.entries {
		if named := slices.Contains(names, e.name); named != e.leaving.named {
			e.leaving.named = named
			v.publish(e)
		}
	}
}
