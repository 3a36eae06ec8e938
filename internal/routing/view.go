// Package routing chooses the server for a request. It is pure: the view, the
// time and the source of randomness are arguments, so that the gateway and the
// simulator run the same code. Times are durations since an epoch chosen by the
// caller, which must be the same for all calls on one view.
//
// A View is not safe for concurrent use: gateways either use one view per
// traffic shard or guard it with a lock. Choose takes no locks and allocates
// nothing.
package routing

import "time"

// MaxNames is the maximum number of loadable names in one view.
const MaxNames = 512

const wordBits = 64

// NameID identifies a loadable name: "model@version", "model:adapter" or
// "service@version". IDs are assigned by Names and are local to one process.
type NameID uint16

// NoName stands for no name, for requests without an adapter.
const NoName NameID = MaxNames

// Set is a set of NameIDs.
type Set [MaxNames / wordBits]uint64

// Has reports whether the set contains id. Every set contains NoName.
func (s *Set) Has(id NameID) bool {
	if id >= MaxNames {
		return id == NoName
	}
	return s[id/wordBits]&(1<<(id%wordBits)) != 0
}

// Add adds id to the set. NoName is ignored.
func (s *Set) Add(id NameID) {
	if id < MaxNames {
		s[id/wordBits] |= 1 << (id % wordBits)
	}
}

// Remove removes id from the set.
func (s *Set) Remove(id NameID) {
	if id < MaxNames {
		s[id/wordBits] &^= 1 << (id % wordBits)
	}
}

// Names assigns IDs to loadable names. It is not safe for concurrent use.
type Names struct {
	ids   map[string]NameID
	names []string
}

// NewNames returns an empty table.
func NewNames() *Names {
	return &Names{ids: make(map[string]NameID)}
}

// ID returns the ID of name, assigning one if necessary. It returns false if
// MaxNames names are already in use.
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

// Lookup returns the ID of name and whether it has one.
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

// Health is the passive health check's state of a server.
type Health uint8

const (
	// Healthy servers receive traffic.
	Healthy Health = iota
	// Suspect servers receive traffic only if no healthy server can take it.
	Suspect
	// Ejected servers receive no traffic.
	Ejected
)

// Report is a load report of a server. For a server of another zone, the
// gateway may only have the mean of that zone.
type Report struct {
	// TakenAt is when the load was measured.
	TakenAt time.Duration
	// RunningOnline and RunningBatch count the requests in the current step.
	RunningOnline float32
	RunningBatch  float32
	// Waiting counts online requests waiting for a place in the step.
	Waiting float32
	// KVUsed is the fraction of KV cache memory in use, between 0 and 1.
	KVUsed float32
	// Step is the duration of the last step.
	Step time.Duration
}

// Server is a gateway's knowledge of one server.
type Server struct {
	// Report is the newest load report; a zero TakenAt means that there is
	// none.
	Report Report
	// Loaded holds the models, adapters and service versions that the server
	// can currently serve.
	Loaded Set
	// OwnOnline and OwnBatch count this gateway's in-flight requests on the
	// server.
	OwnOnline int32
	OwnBatch  int32
	// SentSinceReport and EndedSinceReport count this gateway's online requests
	// that were sent and ended since Report.TakenAt.
	SentSinceReport  int32
	EndedSinceReport int32
	// OwnPromptTokens is the number of prompt tokens of this gateway's
	// requests, online and batch, that have not produced a first token.
	OwnPromptTokens int32
	// SlowStart is the fraction of its traffic that the server receives, above
	// 0 and at most 1. Zero counts as 1.
	SlowStart float32
	// Key is a hash of the server's name, the same on all gateways.
	Key uint64
	// Zone is the index of the server's zone in View.Zones.
	Zone uint16
	// Health is the passive health check's state.
	Health Health
	// Leaving servers receive no new requests.
	Leaving bool
	// Accelerators is the relative speed of the server; zero counts as 1.
	Accelerators uint16
}

// Zone is a contiguous range of View.Servers with the same network distance.
type Zone struct {
	// First and Count are the range of the zone in View.Servers.
	First int32
	Count int32
	// ExtraRTT is how much longer a round trip to this zone takes than one
	// within the local zone.
	ExtraRTT time.Duration
}

// CostModel holds the parameters of step and prefill times.
type CostModel struct {
	// StepBase is the duration of an empty step.
	StepBase time.Duration
	// PerSequence is the time that each decoding request adds to a step.
	PerSequence time.Duration
	// PerPromptToken is the prefill time per prompt token.
	PerPromptToken time.Duration
	// MeanPromptTokens is the assumed prompt length of other gateways' waiting
	// requests.
	MeanPromptTokens float32
}

// View is one gateway's knowledge of the fleet. Zones[0] is the local zone.
type View struct {
	Servers []Server
	Zones   []Zone
	Cost    CostModel
}

// RecordSent records a request sent to a server. Call it when the server is
// chosen, not when the response arrives.
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

// RecordFirstToken records that a request's prompt has been processed.
func (v *View) RecordFirstToken(server int, promptTokens int) {
	entry := &v.Servers[server]
	entry.OwnPromptTokens = max(0, entry.OwnPromptTokens-int32(promptTokens))
}

// RecordEnd records that a request ended.
func (v *View) RecordEnd(server int, batch bool) {
	entry := &v.Servers[server]
	if batch {
		entry.OwnBatch = max(0, entry.OwnBatch-1)
		return
	}
	entry.OwnOnline = max(0, entry.OwnOnline-1)
	entry.EndedSinceReport++
}

// ApplyReport stores a load report, unless it is older than the current one.
// sent and ended count this gateway's online requests that were sent and ended
// after the report was taken. A caller that does not track them passes zero for
// both.
func (v *View) ApplyReport(server int, report Report, sent, ended int) {
	entry := &v.Servers[server]
	if report.TakenAt < entry.Report.TakenAt {
		return
	}
	entry.Report = report
	entry.SentSinceReport = int32(sent)
	entry.EndedSinceReport = int32(ended)
}
