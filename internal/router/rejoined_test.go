package router

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

// reportServer enters a server in the register alone, at an address that serves streams of its version.
func (c *exchangeTest) reportServer(server *rockwindpb.Server) {
	server.Service, server.Slots, server.Address = "app", 4, fmt.Sprintf("10.0.0.%d:1", len(c.servers)+1)
	c.servers[server.GetAddress()] = versionStream(server.GetVersion())
	c.register.Apply(&rockwindpb.DirectoryCommand{
		NowUnixMs: time.Now().UnixMilli(), Command: &rockwindpb.DirectoryCommand_Report{Report: server},
	})
}

// mustRefuseResumed fails the test if a stream of which nothing is known goes on.
func (c *exchangeTest) mustRefuseResumed() {
	c.t.Helper()
	if got := c.resume("next", "first"); got.Code != http.StatusServiceUnavailable {
		c.t.Errorf("a stream of another version may go on: status %d, body %q", got.Code, got.Body)
	}
}

const (
	stateReady    = rockwindpb.ServerState_SERVER_STATE_READY
	stateDraining = rockwindpb.ServerState_SERVER_STATE_DRAINING
	stateGone     = rockwindpb.ServerState_SERVER_STATE_GONE
)

// TestRestartedRouterDoesNotJoinVersions guards against a router that starts when the servers of an earlier version are no
// longer in use, and resumes their streams at the version that serves: after all routers were killed, nobody else knows.
func TestRestartedRouterDoesNotJoinVersions(t *testing.T) {
	for name, earlier := range map[string]func(c *exchangeTest){
		"draining": func(c *exchangeTest) {
			c.reportServer(&rockwindpb.Server{Id: "old", Version: "v1", State: stateReady})
			c.reportServer(&rockwindpb.Server{Id: "old", Version: "v1", State: stateDraining, Sequence: 1})
		},
		"gone": func(c *exchangeTest) {
			c.reportServer(&rockwindpb.Server{Id: "old", Version: "v1", State: stateReady})
			c.register.Apply(&rockwindpb.DirectoryCommand{
				NowUnixMs: time.Now().UnixMilli(), Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: "old"}},
			})
		},
		"in a drained zone": func(c *exchangeTest) {
			c.reportServer(&rockwindpb.Server{Id: "old", Version: "v1", State: stateReady, Zone: "east"})
			c.router.dispatcher.SetZoneDrains(zonedrain.NewList(1, []*rockwindpb.ZoneDrain{{Zone: "east", SinceUnixMs: time.Now().UnixMilli()}}))
		},
		"restarted with the later version": func(c *exchangeTest) {
			c.reportServer(&rockwindpb.Server{Id: "new", Version: "v1", State: stateReady, BornUnixMs: 1, Sequence: 9})
			c.reportServer(&rockwindpb.Server{Id: "new", Version: "v2", State: stateReady, BornUnixMs: 2})
		},
		"restarted twice": func(c *exchangeTest) {
			for place, version := range []string{"v0", "v1", "v2", "v2"} {
				c.reportServer(&rockwindpb.Server{Id: "new", Version: version, State: stateReady, BornUnixMs: int64(1 + place)})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newExchangeTest(t, nil)
				earlier(c)
				time.Sleep(3 * time.Second)
				c.reportServer(&rockwindpb.Server{Id: "later", Version: "v2", State: stateReady})
				c.router.dispatcher.Update(c.register.View())
				c.mustRefuseResumed()
				time.Sleep(originRetention / 2)
				c.mustRefuseResumed()
			})
		})
	}
}

// TestServersThatRestartWithAnotherVersionLeaveTheirVersion guards against a running router that forgets the earlier version
// of servers that start again under their identifiers.
func TestServersThatRestartWithAnotherVersionLeaveTheirVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newExchangeTest(t, nil)
		for born, version := range []string{"v1", "v2"} {
			for _, id := range []string{"one", "two"} {
				c.reportServer(&rockwindpb.Server{Id: id, Version: version, State: stateReady, BornUnixMs: int64(1 + born)})
				c.router.dispatcher.Update(c.register.View())
			}
		}
		c.mustRefuseResumed()
	})
}

// TestDrainingServerStillCountsOnceItIsGone guards against a version that is forgotten, because its last server drained
// when the router started and left afterwards.
func TestDrainingServerStillCountsOnceItIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newExchangeTest(t, nil)
		c.reportServer(&rockwindpb.Server{Id: "old", Version: "v1", State: stateReady})
		c.reportServer(&rockwindpb.Server{Id: "old", Version: "v1", State: stateDraining, Sequence: 1})
		c.reportServer(&rockwindpb.Server{Id: "new", Version: "v2", State: stateReady})
		c.router.dispatcher.Update(c.register.View())
		time.Sleep(originRetention + time.Second)
		c.register.Apply(&rockwindpb.DirectoryCommand{
			NowUnixMs: time.Now().UnixMilli(), Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: "old"}},
		})
		c.router.dispatcher.Update(c.register.View())
		c.mustRefuseResumed()
	})
}
