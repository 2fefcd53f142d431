// Package retrier bounds what retries cost the endpoints.
//
// A retry helps one request and loads endpoints that may be failing already.
// So retries are limited to a share of the requests of a deployment, wait longer each time, and never outlast the deadline. The package is
// pure: values go in, decisions come out.
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
// It is an immutable value; the zero value is full.
type Bucket struct {
	// spent is what is missing to a full bucket.
	spent float64
}

// WithRequest returns a copy to which a request has added its share of a retry.
func (b Bucket) WithRequest(share float64) Bucket {
	b.spent = max(b.spent-share, 0)
	return b
}

// WithRetry returns a copy from which a retry was taken, and whether there was
// enough for it in a bucket that holds the given number.
func (b Bucket) WithRetry(reserve float64) (Bucket, bool) {
	if b.spent+1 > reserve {
		return b, false
	}
	b.spent++
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
