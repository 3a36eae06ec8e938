package scale

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/bench/caller"
)

const (
	// onlineGap is the time between two requests through one gateway.
	onlineGap = 50 * time.Millisecond
	// onlineTokens is the length of the answers.
	onlineTokens = 8
	// onlineTimeout bounds one request.
	onlineTimeout = 10 * time.Second
	// stallLimit is the longest time without an answer through a gateway that is
	// no stall.
	stallLimit = 2 * time.Second
	// loadedGateways is how many real gateways carry the online load.
	loadedGateways = 2
)

// Online is the online load beside everything else.
type Online struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// Refused counts refusals that say that the request did not run.
	Refused int `json:"refused_not_run"`
	// Failed counts all other failures, FirstFailure is one of them.
	Failed       int    `json:"failed"`
	FirstFailure string `json:"first_failure,omitempty"`
	// LongestGap is the longest time between two answers through one gateway, in
	// seconds, and LongestAnswer the longest time that one answer took.
	LongestGap    float64 `json:"longest_gap_seconds"`
	LongestAnswer float64 `json:"longest_answer_seconds"`
}

// loaded tells whether a real gateway carries the online load. Those in the zone
// that is lost do not.
func (c *cluster) loaded(gateway *member) bool {
	for _, each := range c.loadedGateways() {
		if each == gateway {
			return true
		}
	}
	return false
}

func (c *cluster) loadedGateways() []*member {
	var chosen []*member
	for _, each := range c.members {
		if each.Role == roleGateway && each.zone != lostZone(c.size) && len(chosen) < loadedGateways {
			chosen = append(chosen, each)
		}
	}
	return chosen
}

// onlineLoad sends requests through the loaded gateways until stop.
type onlineLoad struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	mutex  sync.Mutex
	result Online
}

func (c *cluster) startOnline(ctx context.Context) *onlineLoad {
	return c.startOnlineThrough(ctx, c.loadedGateways())
}

func (c *cluster) startOnlineThrough(ctx context.Context, gateways []*member) *onlineLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &onlineLoad{cancel: cancel}
	client := &caller.Caller{
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, Key: tenantKey(tenantName(0)),
	}
	for _, gateway := range gateways {
		load.done.Go(func() { load.run(ctx, client, gateway) })
	}
	return load
}

// stop ends the load and returns what became of it.
func (l *onlineLoad) stop() Online {
	l.cancel()
	l.done.Wait()
	return l.result
}

// run sends requests through one gateway at a fixed rate, whether or not the
// ones before were answered.
func (l *onlineLoad) run(ctx context.Context, client *caller.Caller, gateway *member) {
	ticker := time.NewTicker(onlineGap)
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	var mutex sync.Mutex
	last := time.Now()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sent.Go(func() {
			begun := time.Now()
			err := ask(ctx, client, gateway, number)
			if ctx.Err() != nil {
				return
			}
			ended := time.Now()
			mutex.Lock()
			gap := ended.Sub(last)
			if err == nil {
				last = ended
			}
			mutex.Unlock()
			l.record(err, ended.Sub(begun), gap)
		})
	}
}

func ask(ctx context.Context, client *caller.Caller, gateway *member, number int) error {
	ctx, cancel := context.WithTimeout(ctx, onlineTimeout)
	defer cancel()
	id := fmt.Sprintf("%s-%d", gateway.Name, number)
	body := caller.UserChat(onlineModel, id, onlineTokens, false)
	_, err := client.Chat(ctx, "http://"+gateway.Address, id, body, nil)
	return err
}

func (l *onlineLoad) record(err error, took, gap time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.result.Sent++
	l.result.LongestGap = max(l.result.LongestGap, gap.Seconds())
	switch {
	case err == nil:
		l.result.Answered++
		l.result.LongestAnswer = max(l.result.LongestAnswer, took.Seconds())
	case caller.IsNotRun(err):
		l.result.Refused++
	default:
		l.result.Failed++
		if l.result.FirstFailure == "" {
			l.result.FirstFailure = err.Error()
		}
	}
}
