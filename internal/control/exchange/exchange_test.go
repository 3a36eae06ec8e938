package exchange_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/control/exchange"
	"rockwind.example/rockwind/internal/ownership"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const limitPerSecond = 100

func newIndex(t interface{ Fatal(...any) }) *configuration.Index {
	built, err := configuration.NewIndex(&rockwindpb.Configuration{
		Number: 3,
		Groups: []*rockwindpb.Group{{Name: "a", Share: 1}, {Name: "b", Share: 1}},
		Tenants: []*rockwindpb.Tenant{
			{Name: "limited", Group: "a", Limits: &rockwindpb.Limits{RequestsPerSecond: limitPerSecond}},
			{Name: "free", Group: "a"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// Gateways that exchange in any order must hold the latest digest of every server
// in their zone, although responses contain only changes.
func TestGatewaysLearnAllDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := exchange.NewFleetState("control", 1)
		now := time.Unix(1000, 0)
		servers := []string{"s0", "s1", "s2", "s3", "s4"}
		running := make(map[string]uint32)
		received := make([]map[string]uint32, 3)
		versions := make([]uint64, 3)
		for index := range received {
			received[index] = make(map[string]uint32)
		}
		steps := rapid.SliceOfN(rapid.IntRange(0, 2), 5, 60).Draw(t, "steps")
		for _, caller := range append(steps, 0, 1, 2, 0, 1, 2) {
			name := fmt.Sprintf("gateway-%d", caller)
			report := &rockwindpb.ExchangeRequest{Gateway: name, Zone: "zone", SinceVersion: versions[caller]}
			for _, server := range servers {
				if ownership.Owner([]string{"gateway-0", "gateway-1", "gateway-2"}, server) != name {
					continue
				}
				running[server] = rapid.Uint32Range(0, 2).Draw(t, "running")
				received[caller][server] = running[server]
				report.Owned = append(report.Owned, &rockwindpb.ServerDigest{Name: server, RunningOnline: running[server]})
			}
			response := state.Exchange(now, report)
			versions[caller] = response.GetVersion()
			for _, digest := range response.GetServers() {
				received[caller][digest.GetName()] = digest.GetRunningOnline()
			}
			for server, value := range running {
				if have, known := received[caller][server]; !known || have != value {
					t.Fatalf("%s has %d for %s, latest is %d", name, have, server, value)
				}
			}
			now = now.Add(exchange.Period / 3)
		}
	})
}

// The parts of a tenant's limit at gateways of two control machines must add up to
// the limit.
func TestAllowancesSumToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []*exchange.FleetState{exchange.NewFleetState("one", 1), exchange.NewFleetState("two", 1)}
		for _, state := range states {
			state.Configure(newIndex(t))
		}
		demands := rapid.SliceOfN(rapid.Float64Range(1, 100), 2, 8).Draw(t, "demands")
		now := time.Unix(1000, 0)
		sum := 0.0
		for range 40 {
			sum = 0
			for gateway, demand := range demands {
				response := states[gateway%2].Exchange(now, &rockwindpb.ExchangeRequest{
					Gateway: fmt.Sprintf("gateway-%d", gateway), Zone: "zone",
					Tenants: []*rockwindpb.TenantUsage{
						{Tenant: "limited", Requests: demand * exchange.Period.Seconds()},
						{Tenant: "free", Requests: demand},
					},
				})
				if len(response.GetTenants()) != 1 {
					t.Fatalf("got %d allowances, want 1 for the tenant with limits", len(response.GetTenants()))
				}
				sum += response.GetTenants()[0].GetRequestsPerSecond()
			}
			states[0].ApplyAggregates(now, states[1].Aggregates(now))
			states[1].ApplyAggregates(now, states[0].Aggregates(now))
			now = now.Add(exchange.Period)
		}
		if math.Abs(sum-limitPerSecond) > 0.01*limitPerSecond {
			t.Fatalf("the parts add up to %.2f, want %d", sum, limitPerSecond)
		}
	})
}

// The size of exchanges must stay within budget in a zone with 37 servers and 11
// gateways, with 31 other zones and 12 models.
func TestExchangeIsSmall(t *testing.T) {
	const (
		servers  = 37
		gateways = 11
		zones    = 32
		models   = 12
		// budget is in bytes per second.
		budget = 3000
	)
	state := exchange.NewFleetState("control", 1)
	now := time.Unix(1000, 0)
	other := &rockwindpb.ShareAggregatesRequest{Machine: "other"}
	for zone := range zones {
		for model := range models {
			other.Zones = append(other.Zones, &rockwindpb.ZoneDigest{
				Zone: fmt.Sprintf("region-%d-zone-%d", zone/4, zone%4), Model: fmt.Sprintf("model-%d", model),
				Servers: servers, RunningOnline: 500, RunningBatch: 500, Waiting: 10,
			})
		}
	}
	versions := make([]uint64, gateways)
	total := 0
	const rounds = 30
	for round := range rounds {
		state.ApplyAggregates(now, other)
		for gateway := range gateways {
			request := &rockwindpb.ExchangeRequest{
				Gateway: fmt.Sprintf("gateway-%d", gateway), Zone: "region-0-zone-0", SinceVersion: versions[gateway],
			}
			for server := gateway; server < servers; server += gateways {
				request.Owned = append(request.Owned, &rockwindpb.ServerDigest{
					Name: fmt.Sprintf("engine-0-0-%d", server), RunningOnline: uint32(round), RunningBatch: 100, Waiting: 3,
					KvUsedPermille: 700, StepMicroseconds: 20_000, AgeMs: 150, Health: rockwindpb.HealthState_HEALTH_STATE_HEALTHY,
				})
			}
			response := state.Exchange(now, request)
			versions[gateway] = response.GetVersion()
			if round > 0 {
				total += proto.Size(request) + proto.Size(response)
			}
		}
		now = now.Add(exchange.Period)
	}
	perSecond := float64(total) / (rounds - 1) / gateways / exchange.Period.Seconds()
	t.Logf("an exchange takes %.0f B/s of each gateway in protobuf", perSecond)
	if perSecond > budget {
		t.Fatalf("an exchange takes %.0f B/s of each gateway, more than %d", perSecond, budget)
	}
}

// When the gateways of a zone move to another control machine, no response may name
// only some of them.
func TestPeersAreNamedOnceAllHaveExchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rounds = 6
		gateways := rapid.IntRange(1, 12).Draw(t, "gateways")
		jitter := rapid.SliceOfN(rapid.IntRange(-200, 200), gateways*rounds, gateways*rounds).Draw(t, "jitter")
		type call struct {
			at   time.Time
			name string
		}
		var calls []call
		for gateway := range gateways {
			at := time.Unix(1000, 0).Add(time.Duration(gateway) * exchange.Period / time.Duration(gateways))
			for round := range rounds {
				calls = append(calls, call{at: at, name: fmt.Sprintf("gateway-%d", gateway)})
				at = at.Add(exchange.Period + time.Duration(jitter[gateway*rounds+round])*time.Millisecond)
			}
		}
		slices.SortFunc(calls, func(left, right call) int { return left.at.Compare(right.at) })
		state := exchange.NewFleetState("control", 1)
		named := false
		for _, each := range calls {
			peers := state.Exchange(each.at, &rockwindpb.ExchangeRequest{Gateway: each.name, Zone: "zone"}).GetPeers()
			if len(peers) != 0 && len(peers) != gateways {
				t.Fatalf("response names %d of %d gateways", len(peers), gateways)
			}
			named = named || len(peers) == gateways
		}
		if !named {
			t.Fatal("the gateways were never named")
		}
	})
}
