package serverview

import (
	"context"
	"net/http"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// laggingAge is the age of a load report from which an owned server's readiness
// is checked at each poll, because its reports show draining too late.
const laggingAge = 500 * time.Millisecond

// readinessCheckInterval is the minimum interval between readiness checks of a
// server that refuses requests.
const readinessCheckInterval = time.Second

// readiness is the result of a readiness check. Unlike a load report, it is
// current.
type readiness struct {
	server  string
	askedAt time.Duration
	// known is false if the server gave no usable response.
	known bool
	ready bool
}

// checkReadiness asks a server whether it accepts requests.
func (v *View) checkReadiness(ctx context.Context, target upstream.Target) readiness {
	found := readiness{server: target.Name, askedAt: v.now()}
	_, status, err := v.get(ctx, target, "/readyz")
	if err != nil {
		return found
	}
	found.ready = status == http.StatusOK
	found.known = found.ready || status == http.StatusServiceUnavailable
	return found
}

// dueReadinessChecks lists the servers that refused a request and whose
// readiness must be checked.
func (v *View) dueReadinessChecks() []upstream.Target {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	var due []upstream.Target
	for _, e := range v.entries {
		if !e.refused || now-e.readinessCheckedAt < readinessCheckInterval {
			continue
		}
		e.refused = false
		if e.leaving.draining {
			continue
		}
		e.readinessCheckedAt = now
		due = append(due, upstream.Target{Name: e.name, Address: e.address})
	}
	return due
}

// startReadinessChecks checks the servers that refused a request.
func (v *View) startReadinessChecks(ctx context.Context, readinessResults chan<- readiness) {
	for _, target := range v.dueReadinessChecks() {
		go func() {
			found := v.checkReadiness(ctx, target)
			select {
			case readinessResults <- found:
			case <-ctx.Done():
			}
		}()
	}
}

// mergeReadiness merges the result of a readiness check.
func (v *View) mergeReadiness(found readiness) {
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
	e.leaving.setDraining(!found.ready, found.askedAt)
	v.publish(e)
	if e.leaving.draining && !before {
		v.requestExchange()
	}
}

// requestExchange asks for an immediate exchange.
func (v *View) requestExchange() {
	select {
	case v.exchangeRequested <- struct{}{}:
	default:
	}
}

// ExchangeRequested receives when the next exchange must take place
// immediately.
func (v *View) ExchangeRequested() <-chan struct{} {
	return v.exchangeRequested
}

// LeavingServers returns the servers that reported to this gateway that they
// are draining.
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

// mergeLeaving merges the list of leaving servers of all gateways. The caller
// holds the lock.
func (v *View) mergeLeaving(response *rockwindpb.ExchangeResponse) {
	names := response.GetLeaving()
	for _, e := range v.entries {
		if leaving := slices.Contains(names, e.name); leaving != e.leaving.control {
			e.leaving.control = leaving
			v.publish(e)
		}
	}
}
