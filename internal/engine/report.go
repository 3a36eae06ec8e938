package engine

import "time"

// reportSlots is the number of reports kept for the lag.
const reportSlots = 16

// Report is a load report.
type Report struct {
	// Sequence rises with every report.
	Sequence uint64
	// At is when the report was taken.
	At            time.Duration
	RunningOnline int
	RunningBatch  int
	Waiting       int
	// WaitingOnline is the part of Waiting that is online.
	WaitingOnline  int
	KVUsedPermille int
	Step           time.Duration
	Loaded         []string
	Role           Role
	Draining       bool
}

// reportHistory keeps reports until they are old enough to be seen.
type reportHistory struct {
	lag      time.Duration
	sequence uint64
	slots    []Report
}

func newReportHistory(lag time.Duration) reportHistory {
	return reportHistory{lag: lag}
}

// record takes a report. Reports closer together than the lag divided by the
// number of slots replace each other.
func (e *Engine) record(now time.Duration) {
	history := &e.reports
	history.sequence++
	report := e.report(now)
	count := len(history.slots)
	spacing := history.lag / (reportSlots / 2)
	if count >= 2 && now-history.slots[count-2].At < spacing {
		history.slots[count-1] = report
		return
	}
	if count == reportSlots {
		copy(history.slots, history.slots[1:])
		count--
		history.slots = history.slots[:count]
	}
	history.slots = append(history.slots, report)
}

func (e *Engine) report(now time.Duration) Report {
	online := 0
	for online < len(e.running) && !e.running[online].batch() {
		online++
	}
	return Report{
		Sequence:       e.reports.sequence,
		At:             now,
		RunningOnline:  online,
		RunningBatch:   len(e.running) - online,
		Waiting:        e.waiting.length(),
		WaitingOnline:  e.waiting.online,
		KVUsedPermille: e.KVTokens() * 1000 / e.config.KVCapacity,
		Step:           e.lastStep,
		Loaded:         e.orders.loaded,
		Role:           e.orders.role,
		Draining:       e.orders.draining,
	}
}

// Load returns the newest report that is at least ReportLag old. The caller
// must not change the report's list.
func (e *Engine) Load(now time.Duration) Report {
	horizon := now - e.reports.lag
	slots := e.reports.slots
	found := slots[0]
	for index := len(slots) - 1; index >= 0; index-- {
		if slots[index].At <= horizon {
			found = slots[index]
			break
		}
	}
	// Nothing changed between two reports: the older one still held then.
	found.At = max(found.At, horizon)
	if now < e.faults.lieUntil {
		return found.idle()
	}
	return found
}

// idle is what an engine reports that lies about its load.
func (r Report) idle() Report {
	r.RunningOnline, r.RunningBatch, r.Waiting, r.WaitingOnline, r.KVUsedPermille = 0, 0, 0, 0, 0
	return r
}
