package replica

import (
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/replica/repair"
)

const (
	// shortageLogDelay is how long a group may be short of members before that is logged.
	shortageLogDelay = 3 * time.Second
	// shortageLogInterval is the shortest time between two log records of one shortage for the same reason.
	shortageLogInterval = 10 * time.Second
)

// Shortage describes the members that a group lacks, as its leader sees them.
type Shortage struct {
	// Missing lists the machines of members that are inactive and not yet replaced.
	Missing []string
	// Since is when the first of them became inactive, or when the leader was elected if that is later.
	Since time.Time
	// Reason is what the group waits for.
	Reason repair.Reason
	// Refused maps the machines that ask to join to why they are refused.
	Refused map[string]string
}

// refusal is why a machine was refused, and when it asked last.
type refusal struct {
	reason string
	at     time.Time
}

// shortageTracker holds the shortage of a group while this replica leads it.
type shortageTracker struct {
	term     uint64
	refusals map[string]refusal
	// logged is the reason that was logged last, at loggedAt; empty if the shortage was not logged.
	logged   repair.Reason
	loggedAt time.Time
}

// refuse records why a machine that asks to join is not admitted.
func (o *owner) refuse(machine, reason string, now time.Time) {
	if o.shortages.refusals == nil {
		o.shortages.refusals = make(map[string]refusal)
	}
	o.shortages.refusals[machine] = refusal{reason: reason, at: now}
}

// trackShortage publishes and logs the members that the group lacks.
func (o *owner) trackShortage(now time.Time) {
	status := o.node.Status()
	tracker := &o.shortages
	if status.Role != raft.Leader {
		o.publishedShortage.Store(nil)
		*tracker = shortageTracker{}
		return
	}
	if tracker.term != status.Term {
		*tracker = shortageTracker{term: status.Term}
	}
	previous, current := o.publishedShortage.Load(), o.findShortage(status, now)
	o.publishedShortage.Store(current)
	o.logShortage(previous, current, now)
}

// findShortage returns the present shortage; its Missing is empty if there is none.
func (o *owner) findShortage(status raft.Status, now time.Time) *Shortage {
	found := &Shortage{}
	for _, member := range status.Membership.GetMembers() {
		since, inactive := o.inactiveSince[member.GetId()]
		if member.GetLearner() || !inactive {
			continue
		}
		found.Missing = append(found.Missing, member.GetMachine())
		if found.Since.IsZero() || since.Before(found.Since) {
			found.Since = since
		}
	}
	if len(found.Missing) == 0 {
		return found
	}
	found.Refused = make(map[string]string)
	for machine, refused := range o.shortages.refusals {
		if now.Sub(refused.at) < askingTime {
			found.Refused[machine] = refused.reason
		}
	}
	found.Reason = o.repairView(status, now).Reason(len(found.Refused))
	return found
}

func (o *owner) logShortage(previous, current *Shortage, now time.Time) {
	tracker := &o.shortages
	entry := log.WithField("group", o.id).WithField("region", o.region)
	if len(current.Missing) == 0 {
		if tracker.logged != "" {
			entry.WithField("short_ms", now.Sub(previous.Since).Milliseconds()).Info("group is no longer short of members")
			tracker.logged = ""
		}
		return
	}
	if now.Sub(current.Since) < shortageLogDelay || tracker.logged == current.Reason && now.Sub(tracker.loggedAt) < shortageLogInterval {
		return
	}
	tracker.logged, tracker.loggedAt = current.Reason, now
	entry.WithFields(log.Fields{
		"missing": current.Missing, "short_ms": now.Sub(current.Since).Milliseconds(), "reason": current.Reason, "refused": current.refusedList(),
	}).Warn("group is short of members")
}

// refusedList lists the refused machines with the reasons.
func (s *Shortage) refusedList() []string {
	list := make([]string, 0, len(s.Refused))
	for machine, reason := range s.Refused {
		list = append(list, machine+": "+reason)
	}
	slices.Sort(list)
	return list
}

// Shortages returns the shortage of each group that this machine leads. Groups without one have no missing members.
func (h *Host) Shortages() map[uint32]Shortage {
	shortages := make(map[uint32]Shortage)
	for _, o := range h.allOwners() {
		if published := o.publishedShortage.Load(); published != nil {
			shortages[o.id] = *published
		}
	}
	return shortages
}

var (
	missingMembersMetric = prometheus.NewDesc("rockwind_group_missing_members",
		"Members of a group that are inactive and not yet replaced, on the leader.", []string{"group"}, nil)
	shortSecondsMetric = prometheus.NewDesc("rockwind_group_short_seconds",
		"Time for which a group has lacked members, by what it waits for, on the leader.", []string{"group", "reason"}, nil)
)

// Metrics is a collector for the shortages of a host. The host may be nil to describe them.
type Metrics struct{ Host *Host }

// Describe implements prometheus.Collector.
func (Metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- missingMembersMetric
	descriptions <- shortSecondsMetric
}

// Collect implements prometheus.Collector.
func (m Metrics) Collect(metrics chan<- prometheus.Metric) {
	for group, shortage := range m.Host.Shortages() {
		label := strconv.FormatUint(uint64(group), 10)
		metrics <- prometheus.MustNewConstMetric(missingMembersMetric, prometheus.GaugeValue, float64(len(shortage.Missing)), label)
		if len(shortage.Missing) > 0 {
			metrics <- prometheus.MustNewConstMetric(shortSecondsMetric, prometheus.GaugeValue, time.Since(shortage.Since).Seconds(), label, string(shortage.Reason))
		}
	}
}
