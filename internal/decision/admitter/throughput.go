package admitter

import "time"

// Throughput is the throughput and service time of a deployment, as measured by
// this node.
//
// It is an immutable value; the With methods return changed copies.
type Throughput struct {
	// rate is the work per second while requests were queued, 0 if unknown.
	rate float64
	// Weighted means of the estimated output and of the service time, in seconds,
	// for a linear regression of the time on the output.
	meanOutput, meanTime, meanOutputSquared, meanProduct float64
	samples                                              int

	intervalStart time.Time
	intervalWork  float64
	// queueWasEmpty is set if nothing was queued at some time since intervalStart.
	queueWasEmpty bool
}

const (
	// rateInterval is the minimum time over which a rate is measured.
	rateInterval = time.Second
	// rateWeight is the weight of a new rate: a lost engine shows within 3 s.
	rateWeight = 0.3
	// serviceWeight is the weight of one request in the means.
	serviceWeight = 0.02
	// minSamples is the number of responses needed for an estimate. With fewer, a
	// node that has just started refuses requests because of the times of the
	// first few.
	minSamples = 20
)

// WithServiceTime returns the throughput after a request with the given
// estimated output that ran for d; complete reports whether its response was
// complete.
//
// A request that was cancelled would have taken longer than it did, so it counts
// only if it already took longer than expected: counting the shorter times would
// lower the estimate, and more requests would start too late.
func (t Throughput) WithServiceTime(output float64, d time.Duration, complete bool) Throughput {
	if !complete && d <= t.ServiceTime(output) {
		return t
	}
	y, w := d.Seconds(), serviceWeight
	if t.samples == 0 {
		w = 1
	}
	t.samples++
	t.meanOutput += w * (output - t.meanOutput)
	t.meanTime += w * (y - t.meanTime)
	t.meanOutputSquared += w * (output*output - t.meanOutputSquared)
	t.meanProduct += w * (output*y - t.meanProduct)
	return t
}

// WithWorkDone returns the throughput after a request of the given work;
// othersQueued reports whether other requests are queued.
func (t Throughput) WithWorkDone(now time.Time, work float64, othersQueued bool) Throughput {
	if t.intervalStart.IsZero() {
		t.intervalStart, t.queueWasEmpty = now, !othersQueued
		return t
	}
	t.intervalWork += work
	t.queueWasEmpty = t.queueWasEmpty || !othersQueued
	dt := now.Sub(t.intervalStart)
	if dt < rateInterval {
		return t
	}
	rate := t.intervalWork / dt.Seconds()
	switch {
	case t.queueWasEmpty:
		// Capacity was not fully used, so this rate is only a lower bound. It
		// does not set the first rate: after a second with little load, any
		// short queueing delay would be estimated as long.
		if t.rate > 0 {
			t.rate = max(t.rate, rate)
		}
	case t.rate == 0:
		t.rate = rate
	default:
		t.rate += rateWeight * (rate - t.rate)
	}
	t.intervalStart, t.intervalWork, t.queueWasEmpty = now, 0, !othersQueued
	return t
}

// QueueingDelay returns the queueing delay behind the given work, 0 if unknown.
func (t Throughput) QueueingDelay(ahead float64) time.Duration {
	if t.rate <= 0 {
		return 0
	}
	return time.Duration(ahead / t.rate * float64(time.Second))
}

// ServiceTime returns the service time of a request with the given estimated
// output, 0 if unknown.
//
// It depends on the output alone: an engine prefills a prompt in a fraction of
// the time that it takes to decode a response.
func (t Throughput) ServiceTime(output float64) time.Duration {
	if t.samples < minSamples {
		return 0
	}
	slope := 0.0
	if variance := t.meanOutputSquared - t.meanOutput*t.meanOutput; variance > 1 {
		slope = max((t.meanProduct-t.meanOutput*t.meanTime)/variance, 0)
	}
	seconds := max(t.meanTime+slope*(output-t.meanOutput), 0)
	return time.Duration(seconds * float64(time.Second))
}

// Rate returns the work per second, 0 if unknown.
func (t Throughput) Rate() float64 { return t.rate }
