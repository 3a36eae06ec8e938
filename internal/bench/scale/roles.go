package scale

import (
	"fmt"
	"time"
)

// Load at the target size.
const (
	targetRequests   = 2300.0 // online requests a second
	targetItems      = 140e6  // batch items a day
	targetItemBytes  = 2000.0 // of one result
	targetChanges    = 1300.0 // of configuration, a day
	targetRetention  = 24 * time.Hour
	targetDisks      = 14.0
	secondsOfDay     = 86_400.0
	bodyCopies       = 3.0
	groupReplicas    = 5.0
	reportsPerSecond = 20.0 // of one gateway at most: it gathers for 50 ms
)

// Costs that other experiments measured; docs/design names the runs.
const (
	// ledgerHeapDone and ledgerHeapWaiting are bytes of heap of an item of a job,
	// ledgerSnapshot those of a snapshot (docs/design/ledger.md).
	ledgerHeapDone    = 0.99
	ledgerHeapWaiting = 0.40
	ledgerSnapshot    = 0.40
	// ledgerLogGrouped and ledgerLogAlone are bytes of log of an item that is
	// reported with many others and on its own (docs/design/ledger.md).
	ledgerLogGrouped = 9.0
	ledgerLogAlone   = 114.0
	// ledgerRateAlone is the items a second that one group records when each is
	// reported on its own by 16 callers (docs/design/storage.md).
	ledgerRateAlone = 4688.0
	// changeBytes and wholeBytes are what a daemon receives for one change and for
	// a whole configuration, watchRate what it spends on watching in B/s
	// (docs/design/configuration.md).
	changeBytes = 472.0
	wholeBytes  = 1_174_298.0
	watchRate   = 193.0
)

// Costs that are worked out from the schema of the messages, in bytes.
const (
	// tenantEntry is the usage of a tenant in an exchange and the allowance in its
	// answer.
	tenantEntry = 80.0
	// itemReport is the call that reports an item on its own, with all headers.
	itemReport = 500.0
	// cacheEventBytes bounds the cache events that a gateway reads in a second.
	cacheEventBytes = 1024.0
	// exchangePeriod is the time between two exchanges in seconds.
	exchangePeriod = 2.0
	// repairRate is how many bytes a second a machine copies.
	repairRate = 32 << 20
)

// role is one line of the table of roles.
type role struct {
	name, quantity, value, kind, basis string
}

// at returns what the slopes give for a figure at the target.
func (s *Sweep) at(figure string) float64 {
	for _, each := range s.Outlook {
		if each.Figure == figure {
			return each.WorkedOut
		}
	}
	return 0
}

// growth is the slope of a figure along a dimension.
func (s *Sweep) growth(figure, along string) float64 {
	for _, each := range s.Slopes {
		if each.Figure == figure && each.Dimension == along {
			return each.Line.Slope
		}
	}
	return 0
}

// Kinds of figures.
const (
	kindMeasured  = "measured"
	kindWorkedOut = "worked out"
)

// roles works out what each role costs at the target.
func (s *Sweep) roles() []role {
	return append(append(s.gatewayRole(), s.groupRoles()...), s.storageRoles()...)
}

func (s *Sweep) gatewayRole() []role {
	const name = "gateway"
	idle := s.Full.window(windowIdle).Daemons
	tenants := targetRequests / float64(target.Daemons) * exchangePeriod
	usage := tenants * tenantEntry / exchangePeriod
	items := targetItems / secondsOfDay / float64(target.Daemons)
	changeCPU := s.at(figureChangeCPU) / milli * targetChanges / secondsOfDay
	return []role{
		{name, "memory without load", number(s.at(figureRealResident)) + " MB", kindWorkedOut, "slopes of daemons, servers, tenants"},
		{name, "CPU without load", number(s.at(figureRealCPU)) + " % of a core", kindWorkedOut, "slopes of daemons, servers, tenants"},
		{name, "CPU of 1,300 changes a day", number(changeCPU*percent) + " % of a core", kindWorkedOut, "slope of tenants"},
		{name, "traffic without load", number(idle.Total.Mean) + " B/s", kindMeasured, "run of the full size"},
		{name, "use and allowances of tenants", number(usage) + " B/s", kindWorkedOut, fmt.Sprintf("%.0f active tenants an exchange, %.0f B each", tenants, tenantEntry)},
		{name, "cache events", "at most " + number(cacheEventBytes) + " B/s", kindWorkedOut, "bound in the code"},
		{name, "traffic with online load", "at most " + number(idle.Total.Mean+usage+cacheEventBytes) + " B/s", kindWorkedOut, "sum of the lines above"},
		{name, "reports of items, not counted as control", number(min(items, reportsPerSecond)*itemReport) + " B/s", kindWorkedOut, fmt.Sprintf("%.1f items a second, each reported alone", items)},
	}
}

func (s *Sweep) groupRoles() []role {
	const root, shard = "replica of the root group", "replica of a job shard"
	daemons, shards := float64(target.Daemons), float64(target.Shards)
	items := targetItems / secondsOfDay
	return []role{
		{root, "state", number(wholeBytes/megabyte) + " MB encoded, 512 changes kept", kindMeasured, "experiment config"},
		{root, "watching daemons", number(daemons/groupReplicas*watchRate/kilo) + " KB/s", kindWorkedOut, "193 B/s a daemon, five replicas"},
		{root, "changes sent", number(targetChanges*changeBytes*daemons/groupReplicas/secondsOfDay) + " B/s", kindWorkedOut, "472 B a change and daemon"},
		{root, "memory of 11,000 tenants", number(s.growth(figureControlResident, dimensionTenants)*float64(target.Tenants)) + " MB", kindWorkedOut, "slope of tenants, mean of 14 machines of which five replicate"},
		{shard, "heap of items done and kept for a day", number(targetItems/shards*ledgerHeapDone/megabyte) + " MB", kindWorkedOut, "0.99 B an item, experiment ledger"},
		{shard, "heap of 2,000 jobs that wait", number(float64(target.Jobs*target.JobItems)/shards*ledgerHeapWaiting/megabyte) + " MB", kindWorkedOut, "0.40 B an item, experiment ledger"},
		{shard, "log", number(items/shards*ledgerLogGrouped/kilo) + " to " + number(items/shards*ledgerLogAlone/kilo) + " KB/s", kindWorkedOut, "9 B an item in groups, 114 B alone"},
		{shard, "snapshot", number(targetItems/shards*ledgerSnapshot/megabyte) + " MB", kindWorkedOut, "0.40 B an item"},
		{shard, "items recorded a second", number(items/shards) + " of " + number(ledgerRateAlone), kindWorkedOut, "each reported alone, experiment ledger"},
		{shard, "idle gateways that wait for work", number(s.growth(figureControlTraffic, dimensionDaemons)) + " KB/s a daemon, of all exchange and waiting", kindMeasured, "slope of daemons"},
	}
}

func (s *Sweep) storageRoles() []role {
	const name = "store of bodies"
	written := targetItems / secondsOfDay * targetItemBytes
	kept := targetItems * targetItemBytes * targetRetention.Hours() / 24 * bodyCopies / targetDisks
	together := kept / (targetDisks - 1) / repairRate
	return []role{
		{name, "results written", number(written/megabyte) + " MB/s, with copies " + number(written*bodyCopies/targetDisks/megabyte) + " MB/s a machine", kindWorkedOut, "2 KB a result"},
		{name, "results kept for a day", number(kept/1e9) + " GB a machine", kindWorkedOut, "three copies, 14 machines"},
		{name, "repair of a lost machine by the others", number(together/60) + " min", kindWorkedOut, "32 MiB/s each, after two minutes of grace or a new disk"},
		{name, "refilling one empty disk alone", number(kept/repairRate/60) + " min", kindWorkedOut, "32 MiB/s"},
	}
}

// rolesText is the table of roles.
func (s *Sweep) rolesText() string {
	var rows [][]string
	for _, each := range s.roles() {
		rows = append(rows, []string{each.name, each.quantity, each.value, each.kind, each.basis})
	}
	return table([]string{"role", "what", "at the target", "kind", "from"}, rows)
}
