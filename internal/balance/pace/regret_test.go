package pace_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
)

// blind hears nothing of what it does not want to.
type blind struct {
	*pace.Estimates
	told, seen, others bool
}

func (b blind) Told(place int, told float64, now time.Duration) {
	if !b.told {
		told = 1
	}
	b.Estimates.Told(place, told, now)
}

func (b blind) Seen(place int, run balance.Run, now time.Duration) {
	if !b.told {
		run.Told = 0
	}
	if b.seen {
		b.Estimates.Seen(place, run, now)
	}
}

func (b blind) At(place int, others balance.SharedPace, now time.Duration) float64 {
	if !b.others {
		others = balance.SharedPace{}
	}
	return b.Estimates.At(place, others, now)
}

func (b blind) Remember(place int, others balance.SharedPace, now time.Duration) {
	if !b.others {
		others = balance.SharedPace{}
	}
	b.Estimates.Remember(place, others, now)
}

// oracle knows the true pace of the servers.
type oracle struct {
	*pace.Estimates
	site *site
}

func (o oracle) Informed(time.Duration) bool { return true }

func (o oracle) At(place int, _ balance.SharedPace, _ time.Duration) float64 {
	return o.site.servers[o.site.names[place]].pace()
}

func (o oracle) Own(int, time.Duration) balance.SharedPace { return balance.SharedPace{} }

var ways = []struct {
	name  string
	pacer func(s *site) balance.Pacer
}{
	{"free slots", func(*site) balance.Pacer { return nil }},
	{"own runs", func(*site) balance.Pacer { return blind{Estimates: pace.New(), seen: true} }},
	{"told", func(*site) balance.Pacer { return blind{Estimates: pace.New(), told: true} }},
	{"own and told", func(*site) balance.Pacer { return blind{Estimates: pace.New(), seen: true, told: true} }},
	{"digests", func(*site) balance.Pacer { return pace.New() }},
	{"oracle", func(s *site) balance.Pacer { return oracle{pace.New(), s} }},
}

func TestSweep(t *testing.T) {
	for _, exponent := range []float64{1} {
		for _, slow := range []float64{1, 3} {
			for _, load := range []float64{0.8, 0.9, 1.0, 1.2} {
				line := ""
				for i, way := range ways {
					if i == 1 || i == 2 || i == 0 && exponent > 0.7 {
						continue
					}
					results := make(chan result)
					for seed := range uint64(4) {
						go func() {
							s := newSite(seed, 64, 90, way.pacer)
							for i, name := range s.names {
								if i%4 == 0 {
									s.servers[name].slowed = slow
								}
							}
							s.arrive(load*s.capacity(), 12*time.Second)
							s.run(16 * time.Second)
							results <- s.result()
						}()
					}
					var sum result
					for range 4 {
						r := <-results
						sum.first += r.first / 4
						sum.first99 += r.first99 / 4
						sum.whole += r.whole / 4
						sum.late += r.late / 4
					}
					line += fmt.Sprintf(" | %s %d/%d/%d %.3f", way.name, sum.first.Milliseconds(), sum.first99.Milliseconds(), sum.whole.Milliseconds(), sum.late)
				}
				t.Logf("k%.1f slow %.0f load %.1f%s", exponent, slow, load, line)
			}
		}
	}
}
