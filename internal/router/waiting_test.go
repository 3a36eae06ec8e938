package router

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// reportPartCrashes reports three crashes of servers that ran requests with the given parts, one after the other.
func (c *exchangeTest) reportPartCrashes(ids ...string) {
	for server := range 3 {
		c.router.crashes.reporter.ReportCrash(&rockwindpb.ServerEnd{
			Server: fmt.Sprint("crashed-", server), Parts: fingerprint.BytesOf(fingerprint.OfParts("app", append(ids, fmt.Sprint("own-", server)))),
		}, time.Now(), nil)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a request that waits for a server until its time is over although it is held meanwhile, and against the
// refusal of others that wait beside it.
func TestWaitingRequestIsRefusedOnceItIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newExchangeTest(t, nil)
		c.addServer("a", "zone", hangs)
		ctx, cancel := context.WithCancel(t.Context())
		checked := make(chan struct{})
		go func() {
			defer close(checked)
			c.router.refuseHeldWaiting(ctx)
		}()
		route := unsafeRoute()
		route.TimeoutMs, route.GoalMs = proto.Uint32(30_000), 20_000
		results := make(map[string]chan exchangeResult)
		for _, name := range []string{"running", "held", "sound"} {
			parts := []string{"shared", "other", name}
			if name == "held" {
				parts = []string{"shared", "crashing", name}
			}
			result := make(chan exchangeResult, 1)
			results[name] = result
			go func() {
				result <- c.sendInfo(t.Context(), route, RequestInfo{ID: name, Timeout: 30 * time.Second, PartIDs: parts})
			}()
			time.Sleep(10 * time.Millisecond)
		}
		c.reportPartCrashes("shared", "crashing")
		held := <-results["held"]
		if limit := 300 * time.Millisecond; held.took > limit || held.Code != http.StatusServiceUnavailable || !strings.Contains(held.Body.String(), string(fault.Quarantined)) {
			t.Errorf("the held request was answered %d %s after %v", held.Code, held.Body, held.took)
		}
		if sound := <-results["sound"]; strings.Contains(sound.Body.String(), string(fault.Quarantined)) || sound.took < time.Second {
			t.Errorf("the other request was answered %d %s after %v", sound.Code, sound.Body, sound.took)
		}
		<-results["running"]
		cancel()
		<-checked
	})
}
