package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/retry"
)

const (
	// For connectionFloodDuration, connectionFloodClients clients open a new connection to the same router for each request; the
	// next flood follows after connectionFloodPause.
	connectionFloodDuration = 3 * time.Second
	connectionFloodPause    = 6 * time.Second
	connectionFloodClients  = 24
	// floodRequestPause is the maximum time between two requests of a client.
	floodRequestPause = 40 * time.Millisecond
	// minimumFloodRequests is how many requests must be read without faults for the flood to be judged, and
	// servedFraction the part of them that must be served.
	minimumFloodRequests = 40
	servedFraction       = 0.75
)

// flood is a time in which most new connections come to one router.
type flood struct {
	run *run
	at  *member
	// served and failed count the requests that the router read, elsewhere those that it turned away
	// unread and that another router served, and lost those that none served.
	served, failed, elsewhere, lost atomic.Int64
}

// floodConnections floods one router after the other until the context ends.
func (r *run) floodConnections(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.seed, uint64(len("connection floods"))))
	for number := 0; retry.Pause(ctx, connectionFloodPause); number++ {
		current := &flood{run: r, at: r.site.randomRouter(random)}
		began := r.elapsed()
		floodCtx, cancel := context.WithTimeout(ctx, connectionFloodDuration)
		var clients sync.WaitGroup
		for client := range connectionFloodClients {
			clients.Go(func() { current.send(floodCtx, number, client) })
		}
		clients.Wait()
		cancel()
		r.witness.Count("connection floods")
		current.judge(began)
	}
}

// send sends requests of one client.
func (f *flood) send(ctx context.Context, number, client int) {
	random := rand.New(rand.NewPCG(f.run.seed, uint64(number)<<16+uint64(client)))
	transport := &http.Transport{DisableKeepAlives: true}
	httpClient := &http.Client{Transport: transport}
	for sent := 0; retry.Pause(ctx, time.Duration(random.Int64N(int64(floodRequestPause)))); sent++ {
		id := fmt.Sprintf("flood-%d-%d-%d", number, client, sent)
		unread, err := f.request(httpClient, f.at, id)
		switch {
		case unread:
			if _, err = f.request(httpClient, f.run.site.randomRouter(random), id+"-again"); err == nil {
				f.elsewhere.Add(1)
			} else {
				f.lost.Add(1)
			}
		case err == nil:
			f.served.Add(1)
		default:
			f.failed.Add(1)
		}
	}
}

// request sends one request. It reports whether the connection was refused or reset without an answer.
func (f *flood) request(client *http.Client, at *member, id string) (unread bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	f.run.witness.Sent(id, false)
	request, err := newRequest(ctx, at, backend.PathSafe+id, id, "ask "+id, callerTimeout)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF), err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || string(body) != backend.Answer(id)) {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return false, err
}

// judge reports a flood in which the router read requests that it did not serve, unless there were other faults.
func (f *flood) judge(began time.Duration) {
	now := f.run.elapsed()
	served, read := f.served.Load(), f.served.Load()+f.failed.Load()
	if !f.run.faults.quietSince(began) || !f.run.faults.quietSince(now) || read < minimumFloodRequests {
		return
	}
	f.run.witness.Count("connection floods without other faults")
	if float64(served) < servedFraction*float64(read) {
		f.run.witness.Report(witness.FloodNotServed, f.at.Name, fmt.Sprintf("%d of %d requests that it read were served, %d were turned away and served elsewhere, %d not",
			served, read, f.elsewhere.Load(), f.lost.Load()), now)
	}
}
