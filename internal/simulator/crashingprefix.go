package simulator

import (
	"fmt"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// crashDelay is how long after its submission a request with the crashing prefix crashes its engine, and
	// crashDowntime how long the engine is down.
	crashDelay    = 20 * time.Millisecond
	crashDowntime = 2 * time.Second
	// reportDelay is how long a report takes to be committed, and noticeDelay how long a changed list takes
	// to reach the gateways.
	reportDelay = 30 * time.Millisecond
	noticeDelay = 150 * time.Millisecond
)

// prefixQuarantine is the quarantine of a fleet in which requests with one prefix crash engines. All
// prompts share a part as well.
type prefixQuarantine struct {
	fleet    *fleet
	registry *quarantine.Registry
	revision uint64
	list     *quarantine.List
	answers  []*quarantine.PartAnswers
	// crashes counts the crashes of each engine under the prefix.
	crashes []int
}

func newPrefixQuarantine(run *fleet) *prefixQuarantine {
	created := &prefixQuarantine{fleet: run, registry: quarantine.New(), crashes: make([]int, run.scenario.Engines())}
	for range run.scenario.Gateways() {
		created.answers = append(created.answers, quarantine.NewPartAnswers(created.now()))
	}
	return created
}

func (q *prefixQuarantine) now() time.Time { return time.Unix(0, 0).Add(q.fleet.clock.Now()) }

// promptParts returns the parts of a prompt that other requests may share.
func promptParts(drawn shape) []fingerprint.Fingerprint {
	return fingerprint.OfParts("models", []string{"shared", strconv.Itoa(drawn.prefix), "own"})
}

// holds reports whether a gateway refuses a request. Trials are left to the tests of the quarantine.
func (q *prefixQuarantine) holds(g *gateway, drawn shape) bool {
	if q == nil || q.fleet.scenario.IgnorePrefixes {
		return false
	}
	answeredSince := func(part fingerprint.Fingerprint, since time.Time) bool {
		return q.answers[g.index].LastSent(part, q.now()).After(since)
	}
	return q.list.HeldParts(promptParts(drawn), answeredSince, q.now()).For > 0
}

// submitted crashes the engine of a request with the crashing prefix.
func (q *prefixQuarantine) submitted(drawn shape, server int) {
	if q == nil || drawn.prefix != q.fleet.scenario.CrashingPrefix || q.fleet.clock.Now() < q.fleet.scenario.Warmup {
		return
	}
	q.fleet.clock.After(crashDelay, func() {
		if node := q.fleet.nodes[server].engine; !node.Dead() {
			node.Inject(q.fleet.clock.Now(), engine.Fault{Kind: engine.FaultDie, Duration: crashDowntime})
			q.crashes[server]++
			q.fleet.schedule(server)
		}
	})
}

// lost reports that an engine lost a request.
func (q *prefixQuarantine) lost(g *gateway, record *onlineRecord, server int) {
	if q == nil || q.crashes[server] == 0 {
		return
	}
	parts := promptParts(record.arrival.shape)
	end := &rockwindpb.ServerEnd{
		Server: fmt.Sprintf("%d-%d", server, q.crashes[server]), Parts: fingerprint.BytesOf(parts),
		BeganMsAgo: uint64((q.fleet.clock.Now() - record.sentAt + reportDelay).Milliseconds()),
	}
	for _, part := range parts {
		age := uint64(0)
		if at := q.answers[g.index].LastSent(part, q.now()); !at.IsZero() {
			age = uint64(max(1, (q.now().Sub(at) + reportDelay).Milliseconds()))
		}
		end.PartAnsweredMsAgo = append(end.PartAnsweredMsAgo, age)
	}
	q.report(&rockwindpb.ReportQuarantineRequest{Ends: []*rockwindpb.ServerEnd{end}})
}

// answered reports the answer to a request if one of its parts is suspected.
func (q *prefixQuarantine) answered(g *gateway, record *onlineRecord) {
	if q == nil {
		return
	}
	parts, now := promptParts(record.arrival.shape), q.now()
	answers := q.answers[g.index]
	answers.Add(parts, now.Add(record.sentAt-q.fleet.clock.Now()), now)
	report := &rockwindpb.ReportQuarantineRequest{}
	for _, each := range answers.TakeReport(parts, q.list.SuspectedPart, quarantine.PartReportInterval(len(q.answers)), now) {
		report.AnsweredParts = append(report.AnsweredParts, &rockwindpb.PartAnswer{
			Part: each.Part.Bytes(), SentMsAgo: uint64((now.Sub(each.SentAt) + reportDelay).Milliseconds()),
		})
	}
	if len(report.GetAnsweredParts()) > 0 {
		q.report(report)
	}
}

// report commits a report and sends a changed list to the gateways.
func (q *prefixQuarantine) report(report *rockwindpb.ReportQuarantineRequest) {
	q.fleet.clock.After(reportDelay, func() {
		q.registry.Apply(&rockwindpb.QuarantineCommand{NowUnixMs: q.now().UnixMilli(), Command: &rockwindpb.QuarantineCommand_Report{Report: report}})
		view := q.registry.View()
		if view.Revision() == q.revision {
			return
		}
		q.revision = view.Revision()
		q.fleet.clock.After(noticeDelay, func() { q.list = quarantine.NewList(view.Revision(), view.Notices(q.now()), q.now()) })
	})
}

// totalCrashes returns how many engines crashed under the prefix.
func (q *prefixQuarantine) totalCrashes() int {
	if q == nil {
		return 0
	}
	total := 0
	for _, crashes := range q.crashes {
		total += crashes
	}
	return total
}
