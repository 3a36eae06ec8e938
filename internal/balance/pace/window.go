package pace

import "time"

const (
	// On the largest sites a server has about five runs per second over all processes. About twenty
	// runs determine its pace to within a tenth, and a server that becomes slow is noticed within
	// two seconds.
	windowBuckets  = 4
	bucketDuration = time.Second
)

// window sums up the values of the last seconds in buckets of fixed duration.
type window struct {
	sums   [windowBuckets]int
	counts [windowBuckets]int
	// bucket is the number of the newest bucket.
	bucket int64
}

// advance clears the buckets that have expired.
func (w *window) advance(now time.Duration) {
	bucket := int64(now / bucketDuration)
	for range min(bucket-w.bucket, windowBuckets) {
		w.bucket++
		place := w.bucket % windowBuckets
		w.sums[place], w.counts[place] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
}

func (w *window) add(value int, now time.Duration) {
	w.advance(now)
	place := w.bucket % windowBuckets
	w.sums[place] += value
	w.counts[place]++
}

// total returns the sum and the number of the values in the window.
func (w *window) total(now time.Duration) (sum, count int) {
	w.advance(now)
	for place := range w.sums {
		sum += w.sums[place]
		count += w.counts[place]
	}
	return sum, count
}
