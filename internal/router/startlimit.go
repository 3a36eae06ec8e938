package router

import (
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/sitemetrics"
)

// recordStartLimit records that the start limit of a service has begun or ended.
func (p *servicePool) recordStartLimit(now time.Duration) {
	limit := p.pool.StartLimit()
	if limit.Active == p.startLimited {
		return
	}
	p.startLimited = limit.Active
	fields := log.Fields{
		"limit": limit.Requests, "inflight": limit.Inflight, "waiting": p.waiting.Len(), "assumed_orphaned": limit.Orphaned,
		"inflight_late": limit.Late, "expected_in_time": int(limit.Expected), "covered": limit.Covered, "processes": limit.Processes,
	}
	if limit.Active {
		decision.Default.Record(decision.StartsLimited, p.name, fields)
		return
	}
	fields["limited_ms"] = (now - limit.Since).Milliseconds()
	decision.Default.Record(decision.StartsUnlimited, p.name, fields)
}

// StartLimits lists the services whose online requests are limited, for metrics.
func (d *Dispatcher) StartLimits() []sitemetrics.StartLimit {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []sitemetrics.StartLimit
	for _, pool := range d.pools {
		if limit := pool.pool.StartLimit(); limit.Active {
			all = append(all, sitemetrics.StartLimit{Service: pool.name, Requests: limit.Requests, Inflight: limit.Inflight})
		}
	}
	return all
}
