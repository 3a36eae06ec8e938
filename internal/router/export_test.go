package router

import "rockwind.example/rockwind/internal/loadshare"

// LoadSource is what the dispatcher tells other processes, and takes from them.
func (d *Dispatcher) LoadSource() loadshare.Source { return loadSource{d} }

// RunSurvey has the servers of a directory asked as after a start.
var RunSurvey = (*Dispatcher).runSurvey
