package engine

import "time"

// maxReports bounds the reports kept until they become visible.
const maxReports = 16

// Report is a load report.
type Report struct {
	// Sequence increases with every report.
	Sequence uint64
	// At is the time when the report was taken.
	At            time.Duration
	RunningOnline int
	RunningBatch  int
	Waiting       int
	// WaitingOnline is the number of online requests in Waiting.
	WaitingOnline  int
	KVUsedPermille int
	Step           time.Duration
	Loaded         []string
	Role           Role
	Draining       bool
}

// reportHistory keeps recent reports so that they can be returned after a delay.
type reportHistory struct {
	lag      time.Duration
	sequence uint64
	recent   []Report
}

func newReportHistory(lag time.Duration) reportHistory {
	return reportHistory{lag: lag}
}

// recordReport appends the current load to the history. Reports in short succession
// replace each other, so that the history spans the lag.
func (e *Engine) recordReport(now time.Duration) {
	history := &e.reports
	history.sequence++
	report := e.report(now)
	count := len(history.recent)
	spacing := history.lag / (maxReports / 2)
	if count >= 2 && now-history.recent[count-2].At < spacing {
		history.recent[count-1] = report
		return
	}
	if count == maxReports {
		copy(history.recent, history.recent[1:])
		count--
		history.recent = history.recent[:count]
	}
	history.recent = append(history.recent, report)
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

// Load returns the newest report that is at least ReportLag old. The caller must
// not modify its Loaded list.
func (e *Engine) Load(now time.Duration) Report {
	horizon := now - e.reports.lag
	recent := e.reports.recent
	found := recent[0]
	for index := len(recent) - 1; index >= 0; index-- {
		if recent[index].At <= horizon {
			found = recent[index]
			break
		}
	}
	// Nothing changed between two reports, so this one was still valid at the horizon.
	found.At = max(found.At, horizon)
	if now < e.faults.reportIdleUntil {
		return found.idle()
	}
	return found
}

// idle returns the report with zero load, for FaultReportIdle.
func (r Report) idle() Report {
	r.RunningOnline, r.RunningBatch, r.Waiting, r.WaitingOnline, r.KVUsedPermille = 0, 0, 0, 0, 0
	return r
}
