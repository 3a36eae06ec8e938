package router

import "time"

const (
	// arrivalBucket is the resolution of an arrival rate, and arrivalBuckets the number of buckets that it
	// is averaged over, besides the current one.
	arrivalBucket  = 100 * time.Millisecond
	arrivalBuckets = 10
)

// arrivalRate measures the rate of arrivals in the last second, or since the first one. The zero value is
// ready to use. It is not safe for concurrent use.
type arrivalRate struct {
	// counts holds the arrivals by the number of their bucket, modulo its length. newest is the number of
	// the newest bucket, and first that of the first arrival; both are zero before that.
	counts [arrivalBuckets + 1]int
	newest int64
	first  int64
}

func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(arrivalBucket) }

// advance empties the buckets of the time since the newest one.
func (a *arrivalRate) advance(bucket int64) {
	if bucket-a.newest > arrivalBuckets {
		a.counts, a.newest = [arrivalBuckets + 1]int{}, bucket
	}
	for a.newest < bucket {
		a.newest++
		a.counts[a.newest%int64(len(a.counts))] = 0
	}
}

// add counts an arrival, which may be up to a second ago.
func (a *arrivalRate) add(at, now time.Time) {
	a.advance(bucketOf(now))
	bucket := min(bucketOf(at), a.newest)
	if a.newest-bucket > arrivalBuckets {
		return
	}
	if a.first == 0 || bucket < a.first {
		a.first = bucket
	}
	a.counts[bucket%int64(len(a.counts))]++
}

// perSecond returns the rate of arrivals.
func (a *arrivalRate) perSecond(now time.Time) float64 {
	if a.first == 0 {
		return 0
	}
	a.advance(bucketOf(now))
	sum := 0
	for _, count := range a.counts {
		sum += count
	}
	since := max(a.first, a.newest-arrivalBuckets) * int64(arrivalBucket)
	return float64(sum) / max(arrivalBucket, time.Duration(now.UnixNano()-since)).Seconds()
}

// noteTimelyArrival counts a request that can meet its objective by its first attempt. After a restart
// these have come in while the process was down, so that the rate is known at once.
func (p *servicePool) noteTimelyArrival(request AcquireRequest, now time.Time) {
	if !now.Before(request.StartBy) {
		return
	}
	at := request.FirstAsked
	if at.IsZero() {
		at = now
	}
	p.timelyArrivals.add(at, now)
}
