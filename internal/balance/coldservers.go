package balance

import "time"

// SetColdSpacing sets the minimum time between two requests of this process to a server while it is
// cold. The time counts from the last request that this process sent there.
func (p *Pool) SetColdSpacing(id string, spacing time.Duration) {
	if srv := p.find(id); srv != nil {
		srv.setColdSpacing(spacing)
	}
}

func (s *server) setColdSpacing(spacing time.Duration) {
	if s.coldNext > 0 {
		s.coldNext += spacing - s.ColdSpacing
	}
	s.ColdSpacing = spacing
}
