// Package routing chooses the back end of a request. It is pure: the view, the
// time and the randomness are arguments, so that the gateway and the simulator
// run the same code. Times are durations since an epoch of the caller's choice;
// the epoch must be the same for all calls on one view.
//
// A view belongs to one goroutine at a time. Gateways either own one view per
// traffic shard or guard it with a lock; Choose takes no locks and allocates
// nothing.
package routing

import "time"

// MaxNames is the largest number of loadable names that one view can tell apart.
const MaxNames = 512

const wordBits = 64

// NameID identifies a loadable name: "model@version", "model:adapter" or
// "service@version". IDs are given by Names and are local to one daemon.
type NameID uint16

// NoName is the absence of a name, for requests without an adapter.
const NoName NameID = MaxNames

// Set is a set of NameIDs.
type Set [MaxNames / wordBits]uint64

// Has tells whether the set holds id. Every set holds NoName.
func (s *Set) Has(id NameID) bool {
	if id >= MaxNames {
		return id == NoName
	}
	return s[id/wordBits]&(1<<(id%wordBits)) != 0
}

// Add puts id into the set. NoName is ignored.
func (s *Set) Add(id NameID) {
	if id < MaxNames {
		s[id/wordBits] |= 1 << (id % wordBits)
	}
}

// Remove takes id out of the set.
func (s *Set) Remove(id NameID) {
	if id < MaxNames {
		s[id/wordBits] &^= 1 << (id % wordBits)
	}
}

// Names gives IDs to loadable names. It is not safe for concurrent use.
type Names struct {
	ids   map[string]NameID
	names []string
}

// NewNames returns an empty table.
func NewNames() *Names {
	return &Names{ids: make(map[string]NameID)}
}

// ID returns the ID of name and gives it one if it has none yet. It returns
// false once MaxNames names are in use.
func (n *Names) ID(name string) (NameID, bool) {
	if id, known := n.ids[name]; known {
		return id, true
	}
	if len(n.names) >= MaxNames {
		return NoName, false
	}
	id := NameID(len(n.names))
	n.ids[name] = id
	n.names = append(n.names, name)
	return id, true
}

// Lookup returns the ID of a name that has one.
func (n *Names) Lookup(name string) (NameID, bool) {
	id, known := n.ids[name]
	return id, known
}

// Name returns the name with the given ID, or "" if there is none.
func (n *Names) Name(id NameID) string {
	if int(id) >= len(n.names) {
		return ""
	}
	return n.names[id]
}

// Health is what passive health says of a server.
type Health uint8

// The health states that routing tells apart.
const (
	// Healthy servers take traffic.
	Healthy Health = iota
	// Suspect servers take traffic only where no healthy one can.
	Suspect
	// Ejected servers take no traffic.
	Ejected
)

// Report is the load that a server reported. For a server of another zone it
// is the mean of that zone.
type Report struct {
	// TakenAt is when the server took the report.
	TakenAt time.Duration
	// RunningOnline and RunningBatch count requests in the step.
	RunningOnline float32
	RunningBatch  float32
	// Waiting counts online requests that wait for a place in the step.
	Waiting float32
	// KVUsed is the part of KV memory in use, between 0 and 1.
	KVUsed float32
	// Step is the duration of the last step.
	Step time.Duration
}

// Server is what one gateway knows of one server.
type Server struct {
	// Report is the newest load report. A zero TakenAt means none yet.
	Report Report
	// Loaded holds the models, adapters and service versions that the server
	// can run now.
	Loaded Set
	// OwnOnline and OwnBatch count this gateway's requests in flight there.
	OwnOnline int32
	OwnBatch  int32
	// SentSinceReport and EndedSinceReport count this gateway's online requests
	// sent and ended since Report.TakenAt.
	SentSinceReport  int32
	EndedSinceReport int32
	// OwnPromptTokens sums the prompt tokens of this gateway's requests, online
	// and batch, whose first token has not arrived yet.
	OwnPromptTokens int32
	// SlowStart scales the traffic that the server gets, above 0 and at most 1.
	// Zero counts as 1.
	SlowStart float32
	// Key names the server to all gateways alike, as a hash of its name.
	Key uint64
	// Zone is the index of the server's zone in View.Zones.
	Zone uint16
	// Health is the verdict of passive health.
	Health Health
	// Leaving servers take no new work.
	Leaving bool
	// Accelerators is the relative speed of the server; zero counts as 1.
	Accelerators uint16
}

// Zone is a run of consecutive servers in View.Servers with one network cost.
type Zone struct {
	// First and Count delimit the zone's servers in View.Servers.
	First int32
	Count int32
	// ExtraRTT is the extra time of a round trip to the zone over one's own.
	ExtraRTT time.Duration
}

// CostModel turns counts into time. Values may be measured or configured.
type CostModel struct {
	// StepBase is the duration of an empty step.
	StepBase time.Duration
	// PerSequence is what one more decoding request adds to a step.
	PerSequence time.Duration
	// PerPromptToken is the prefill time of one prompt token.
	PerPromptToken time.Duration
	// MeanPromptTokens is the prompt assumed for waiting requests of others.
	MeanPromptTokens float32
}

// View is what one gateway knows of the fleet. Zones[0] is its own zone.
type View struct {
	Servers []Server
	Zones   []Zone
	Cost    CostModel
}

// RecordSent records that this gateway dispatches a request to a server. Call it when
// the decision is taken, not when the answer comes.
func (v *View) RecordSent(server int, promptTokens int, batch bool) {
	entry := &v.Servers[server]
	entry.OwnPromptTokens += int32(promptTokens)
	if batch {
		entry.OwnBatch++
		return
	}
	entry.OwnOnline++
	entry.SentSinceReport++
}

// RecordFirstToken records that the prompt of a request has been processed.
func (v *View) RecordFirstToken(server int, promptTokens int) {
	entry := &v.Servers[server]
	entry.OwnPromptTokens = max(0, entry.OwnPromptTokens-int32(promptTokens))
}

// RecordEnded records that a request of this gateway is over.
func (v *View) RecordEnded(server int, batch bool) {
	entry := &v.Servers[server]
	if batch {
		entry.OwnBatch = max(0, entry.OwnBatch-1)
		return
	}
	entry.OwnOnline = max(0, entry.OwnOnline-1)
	entry.EndedSinceReport++
}

// ApplyReport puts a newer load report in place. sent and ended count this
// gateway's online requests that were sent and ended after the report was
// taken; a caller that does not track this passes zero for both and accepts
// that the correction restarts with each report. Older reports are ignored.
func (v *View) ApplyReport(server int, report Report, sent, ended int) {
	entry := &v.Servers[server]
	if report.TakenAt < entry.Report.TakenAt {
		return
	}
	entry.Report = report
	entry.SentSinceReport = int32(sent)
	entry.EndedSinceReport = int32(ended)
}
