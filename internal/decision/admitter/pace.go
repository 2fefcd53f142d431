package admitter

import "time"

// Throughput is the throughput and service time of a deployment, as measured by this
// node.
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

// WithServiceTime returns the pace after a request with the given estimated output that
// ran for d; complete reports whether its response was complete.
//
// A request that was cancelled would have taken longer than it did, so it counts
// only if it already took longer than expected: counting the shorter times would
// lower the estimate, and more requests would start too late.
func (p Throughput) WithServiceTime(output float64, d time.Duration, complete bool) Throughput {
	if !complete && d <= p.ServiceTime(output) {
		return p
	}
	y, w := d.Seconds(), serviceWeight
	if p.samples == 0 {
		w = 1
	}
	p.samples++
	p.meanOutput += w * (output - p.meanOutput)
	p.meanTime += w * (y - p.meanTime)
	p.meanOutputSquared += w * (output*output - p.meanOutputSquared)
	p.meanProduct += w * (output*y - p.meanProduct)
	return p
}

// WithWorkDone returns the pace after a request of the given work; othersQueued
// reports whether other requests are queued.
func (p Throughput) WithWorkDone(now time.Time, work float64, othersQueued bool) Throughput {
	if p.intervalStart.IsZero() {
		p.intervalStart, p.queueWasEmpty = now, !othersQueued
		return p
	}
	p.intervalWork += work
	p.queueWasEmpty = p.queueWasEmpty || !othersQueued
	dt := now.Sub(p.intervalStart)
	if dt < rateInterval {
		return p
	}
	rate := p.intervalWork / dt.Seconds()
	switch {
	case p.queueWasEmpty:
		// Capacity was not fully used, so this rate is only a lower bound. It
		// does not set the first rate: after a second with little load, any
		// short queueing delay would be estimated as long.
		if p.rate > 0 {
			p.rate = max(p.rate, rate)
		}
	case p.rate == 0:
		p.rate = rate
	default:
		p.rate += rateWeight * (rate - p.rate)
	}
	p.intervalStart, p.intervalWork, p.queueWasEmpty = now, 0, !othersQueued
	return p
}

// QueueingDelay returns the queueing delay behind the given work, 0 if unknown.
func (p Throughput) QueueingDelay(ahead float64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(ahead / p.rate * float64(time.Second))
}

// ServiceTime returns the service time of a request with the given estimated
// output, 0 if unknown.
//
// It depends on the output alone: an engine prefills a prompt in a fraction of
// the time that it takes to decode a response.
func (p Throughput) ServiceTime(output float64) time.Duration {
	if p.samples < minSamples {
		return 0
	}
	slope := 0.0
	if variance := p.meanOutputSquared - p.meanOutput*p.meanOutput; variance > 1 {
		slope = max((p.meanProduct-p.meanOutput*p.meanTime)/variance, 0)
	}
	seconds := max(p.meanTime+slope*(output-p.meanOutput), 0)
	return time.Duration(seconds * float64(time.Second))
}

// Rate returns the work per second, 0 if unknown.
func (p Throughput) Rate() float64 { return p.rate }
