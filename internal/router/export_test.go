package router

import (
	"time"

	"rockwind.example/rockwind/internal/loadshare"
)

// LoadSource is what the dispatcher tells other processes, and takes from them.
func (d *Dispatcher) LoadSource() loadshare.Source { return loadSource{dispatcher: d} }

// RunSurvey has the servers of a directory asked as after a start.
var RunSurvey = (*Dispatcher).runSurvey

// QueueLen is how many requests wait for a service.
func (d *Dispatcher) QueueLen(service string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.service(service).waiting.Len()
}

// Pace has the dispatcher be one of so many processes whose loads are so old.
func (d *Dispatcher) Pace(service string, processes int, viewAge time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.service(service).pool
	pool.SetOnlineProcesses(processes)
	pool.SetViewAge(viewAge)
}

// LookPatienceOf is how long a request waits for the look at a server whose connection broke off.
var LookPatienceOf = lookPatienceOf
