package admitter

import "time"

// Pace is how fast a deployment works, as this node has measured it.
//
// It is an immutable value; the With methods return changed copies.
type Pace struct {
	// rate is work a second while requests waited, 0 if not known.
	rate float64
	// Means of the output that was estimated and of the time that a request
	// took, for the line through them.
	output, time, square, product float64
	seen                          bool

	since time.Time
	work  float64
	// slack says that nothing waited at some time since then.
	slack bool
}

const (
	// paceEvery is the least time over which a rate is measured.
	paceEvery = time.Second
	// paceShare is the weight of a new rate: a lost engine shows in 3 s.
	paceShare = 0.3
	// serviceShare is the weight of one request in the means.
	serviceShare = 0.02
)

// WithTime returns the pace after a request with the given estimate of its
// output that ran for d; whole says that its answer was whole.
//
// A request that was given up would have taken longer than it did, so it counts
// only if it already took longer than expected: the others' short times would
// let more requests start too late.
func (p Pace) WithTime(output float64, d time.Duration, whole bool) Pace {
	if !whole && d <= p.Service(output) {
		return p
	}
	y, w := d.Seconds(), serviceShare
	if !p.seen {
		p.seen, w = true, 1
	}
	p.output += w * (output - p.output)
	p.time += w * (y - p.time)
	p.square += w * (output*output - p.square)
	p.product += w * (output*y - p.product)
	return p
}

// WithDone returns the pace after a request of the given work; waiting says
// whether others wait.
func (p Pace) WithDone(now time.Time, work float64, waiting bool) Pace {
	if p.since.IsZero() {
		p.since, p.slack = now, !waiting
		return p
	}
	p.work += work
	p.slack = p.slack || !waiting
	dt := now.Sub(p.since)
	if dt < paceEvery {
		return p
	}
	rate := p.work / dt.Seconds()
	switch {
	case p.slack:
		// Not all capacity was used, so it is at least this.
		p.rate = max(p.rate, rate)
	case p.rate == 0:
		p.rate = rate
	default:
		p.rate += paceShare * (rate - p.rate)
	}
	p.since, p.work, p.slack = now, 0, !waiting
	return p
}

// Wait returns how long the given work takes, 0 if that is not known.
func (p Pace) Wait(ahead float64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(ahead / p.rate * float64(time.Second))
}

// Service returns how long a request with the given estimated output runs, 0
// if that is not known.
//
// The output decides: an engine reads a prompt in a fraction of the time in
// which it writes an answer.
func (p Pace) Service(output float64) time.Duration {
	slope := 0.0
	if variance := p.square - p.output*p.output; variance > 1 {
		slope = max((p.product-p.output*p.time)/variance, 0)
	}
	seconds := max(p.time+slope*(output-p.output), 0)
	return time.Duration(seconds * float64(time.Second))
}

// Rate returns work a second, 0 if not known.
func (p Pace) Rate() float64 { return p.rate }
