// Package retrier bounds the load that retries put on the endpoints.
//
// A retry helps one request but adds load to endpoints that may already be
// failing. Retries are therefore limited to a share of the requests of a
// deployment, are delayed by an exponential backoff, and never outlast the
// deadline. The package is pure: it takes values and returns decisions.
package retrier

import (
	"time"
)

// DefaultReserve is the number of retries that a bucket holds if its rule names
// none. It lets a deployment with few requests retry at all, and lets a node
// resume on other endpoints the streams that it had on a lost endpoint.
const DefaultReserve = 32

// Bucket is the retry budget of one deployment.
//
// It is an immutable value; the zero value is empty. A node that shares a
// budget with others starts with an empty bucket, because it may have spent its
// share before a restart.
type Bucket struct {
	// available is the number of retries available.
	available float64
}

// FullBucket returns a bucket that holds reserve retries.
func FullBucket(reserve float64) Bucket { return Bucket{available: reserve} }

// WithRequest returns a copy credited with share, the fraction of a retry that
// one request earns, up to reserve.
func (b Bucket) WithRequest(share, reserve float64) Bucket {
	b.available = min(b.available+share, reserve)
	return b
}

// Allows reports whether a retry is available.
func (b Bucket) Allows() bool { return b.available >= 1 }

// Available returns the number of retries available, with the fraction that the requests
// since have earned.
func (b Bucket) Available() float64 { return b.available }

// WithRetry returns a copy with one retry taken out, and whether one was
// available.
func (b Bucket) WithRetry() (Bucket, bool) {
	if !b.Allows() {
		return b, false
	}
	b.available--
	return b, true
}

// maxBackoff keeps a retry within the time that callers usually wait for a
// response.
const maxBackoff = 2 * time.Second

// Backoff returns the delay before retry n, counted from 1.
//
// The delay doubles with each retry and is drawn from its upper half by random,
// which lies in [0, 1). Backoff returns false if the delay does not end within
// left, the remaining time.
func Backoff(base time.Duration, n int, random float64, left time.Duration) (time.Duration, bool) {
	d := base
	for range n - 1 {
		d = min(2*d, maxBackoff)
	}
	d = min(d, maxBackoff)
	d = d/2 + time.Duration(random*float64(d)/2)
	return d, d < left
}
