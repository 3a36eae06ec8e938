package router

import "rockwind.example/rockwind/internal/loadshare"

// LoadSource is what the dispatcher tells other processes, and takes from them.
func (d *Dispatcher) LoadSource() loadshare.Source { return loadSource{d} }

// QueueLen is how many requests wait for a service.
func (d *Dispatcher) QueueLen(service string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.service(service).waiting.Len()
}
