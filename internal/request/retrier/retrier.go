// Package retrier bounds what retries cost the endpoints.
//
// A retry helps one request and loads endpoints that may be failing already.
// So retries are limited to a share of the requests of a deployment, wait longer
// each time, and never outlast the deadline. The package is pure: values go in,
// decisions come out.
package retrier

import (
	"time"
)

// Reserve is the number of retries that a bucket holds where its rule names
// none. A deployment with few requests can so retry at all, and the streams that
// one lost endpoint had from one node can be resumed elsewhere.
const Reserve = 32

// Bucket is the retry budget of one deployment.
//
// It is an immutable value; the zero value is empty. A node that shares a budget
// with others starts with that: it may have spent its part before it started
// again.
type Bucket struct {
	// saved is the number of retries that may be made.
	saved float64
}

// Full returns a bucket with a number of retries.
func Full(reserve float64) Bucket { return Bucket{saved: reserve} }

// WithRequest returns a copy to which a request has added its share of a retry,
// up to a reserve.
func (b Bucket) WithRequest(share, reserve float64) Bucket {
	b.saved = min(b.saved+share, reserve)
	return b
}

// Allows reports whether a retry can be taken out.
func (b Bucket) Allows() bool { return b.saved >= 1 }

// WithRetry returns a copy from which a retry was taken, and whether there was
// one.
func (b Bucket) WithRetry() (Bucket, bool) {
	if !b.Allows() {
		return b, false
	}
	b.saved--
	return b, true
}

// maxBackoff keeps a retry within the time that a caller usually waits.
const maxBackoff = 2 * time.Second

// Backoff returns how long to wait before retry n, counted from 1.
//
// The delay doubles with each retry and is drawn from its upper half by
// random, which lies in [0, 1). It returns false if the delay does not end
// before the time that is left.
func Backoff(base time.Duration, n int, random float64, left time.Duration) (time.Duration, bool) {
	d := base
	for range n - 1 {
		d = min(2*d, maxBackoff)
	}
	d = min(d, maxBackoff)
	d = d/2 + time.Duration(random*float64(d)/2)
	return d, d < left
}
