// Package hedger decides whether a request that waits for its response gets a second
// attempt at another endpoint.
//
// The load that it handles: routes of up to 110,000 requests a second over 530 nodes,
// where one endpoint of ten or a few connections respond many times later than usual, all
// endpoints or the network become slow together, or a service is short of capacity.
//
// A request is late if it has waited longer than nearly all requests of its kind. A late
// one is sent a second time unless a bound forbids that: a share of the requests that the
// operator sets, the retry budget, the capacity of the service, the state of the other
// endpoint, the time left. A Race says which of the two responses is used. The design and
// its alternatives are in docs/design/second-attempts.md. The package is pure: it takes
// times and states, and returns values.
package hedger

import "time"

const (
	// maxQuantile is the highest quantile that the requests of a minute tell reliably.
	maxQuantile = 0.99
	// minQuantile bounds how early a request counts as late: below it, most second
	// attempts would copy requests whose response is about to arrive.
	minQuantile = 0.9
	// lateFactor is how many times the median a late request has waited at least. The second
	// attempt usually takes the median itself, so before that the first one usually wins.
	lateFactor = 2
	// minDelay is the shortest wait that counts as late. A second attempt takes about as
	// long itself, for its connection and its way.
	minDelay = 10 * time.Millisecond
	// shortageTime is how long a service counts as short of capacity after an endpoint has
	// refused a request for lack of it. An endpoint that refuses gets no requests for up
	// to 1.6 s, so a refusal that persists is seen again within that time.
	shortageTime = 2 * time.Second
	// budgetReserve is the part of the retry budget that is left to retries after failures.
	budgetReserve = 0.5
)

// Reason says why a second attempt is sent or not.
type Reason string

// The reasons of decisions. All but Sent and NotLate are final for the request, or hold
// until something changes.
const (
	// Sent means that the second attempt is sent.
	Sent Reason = "sent"
	// NotLate means that the request has not waited long enough; Decision.At says when it
	// has.
	NotLate Reason = "not late"
	// Off means that the operator allows no second attempts.
	Off Reason = "off"
	// NotRepeatable means that the request must not run twice, or that its body cannot be
	// sent again.
	NotRepeatable Reason = "not repeatable"
	// Suspect means that the prompt is associated with a crash of an endpoint.
	Suspect Reason = "suspect"
	// Ended means that the response has begun or that the caller does not wait any more.
	Ended Reason = "ended"
	// SentBefore means that the request has had its second attempt.
	SentBefore Reason = "sent before"
	// AttemptsExhausted means that the request was sent to as many endpoints as its route
	// allows.
	AttemptsExhausted Reason = "attempts exhausted"
	// FewSamples means that too few responses of this kind were seen to call one late.
	FewSamples Reason = "few samples"
	// NearDeadline means that less than half of the time to the deadline is left.
	NearDeadline Reason = "near deadline"
	// ShortOfCapacity means that requests of the service wait or were refused.
	ShortOfCapacity Reason = "short of capacity"
	// NoEndpoint means that no other endpoint may take the request.
	NoEndpoint Reason = "no endpoint"
	// EquallyLate means that the other endpoint is not expected to respond earlier.
	EquallyLate Reason = "equally late"
	// ShareSpent means that the share of the operator is spent.
	ShareSpent Reason = "share spent"
	// BudgetLow means that what is left of the retry budget is reserved for retries after
	// failures.
	BudgetLow Reason = "retry budget low"
)

// Request is what a decision depends on of the request itself.
type Request struct {
	// Repeatable says that it may run twice by its route, and that its body is held. A
	// claim does not make a request repeatable.
	Repeatable bool
	// Suspect says that its prompt is associated with a crash.
	Suspect bool
	// Ended says that its response has begun or that its caller has disconnected.
	Ended bool
	// SentBefore says that it has had a second attempt.
	SentBefore bool
	// Runs is the number of endpoints it was sent to, the attempt in progress included;
	// MaxRuns bounds it, 0 means no bound.
	Runs    int
	MaxRuns int
	// SentAt is when the attempt in progress was sent.
	SentAt   time.Time
	Deadline time.Time
}

// Endpoint is what a decision depends on of an endpoint.
type Endpoint struct {
	// Slowdown is the time that work takes there as a multiple of the usual time; 0 means
	// that it is not known. It is at most 0.8 s old (picker.Slowdown.FactorAt); an older
	// one must be left out.
	Slowdown float64
	// Requests is the number of requests there, Slots how many it processes at once; 0
	// slots means that they are not known.
	Requests int
	Slots    int
	// Overdue is the number of requests of this node there that are late themselves.
	Overdue int
}

// slowdown returns the slowdown, the usual one if it is not known.
func (e Endpoint) slowdown() float64 {
	if e.Slowdown <= 0 {
		return 1
	}
	return e.Slowdown
}

// Service is what a decision depends on of the service.
type Service struct {
	// Share is the share of requests that may have a second attempt, 0 for none.
	Share float64
	// Queued is the number of requests that wait at this node for an endpoint.
	Queued int
	// RefusedAt is when an endpoint last refused a request for lack of capacity.
	RefusedAt time.Time
	// Budget is the number of retries left in the budget, MaxBudget the most it holds.
	Budget    float64
	MaxBudget float64
	// Latencies are those of the requests of this kind, Counts those of the route.
	Latencies Latencies
	Counts    Counts
}

// short reports whether the service is short of capacity.
func (s Service) short(now time.Time) bool {
	return s.Queued > 0 || !s.RefusedAt.IsZero() && now.Sub(s.RefusedAt) < shortageTime
}

// lateAfter returns after what wait a request is late; false if that is not known.
//
// The quantile follows from the share, so that the second attempts are made for the
// slowest requests and not for the first that come.
func (s Service) lateAfter() (time.Duration, bool) {
	q := min(max(1-s.Share, minQuantile), maxQuantile)
	delay, ok := s.Latencies.Quantile(q)
	usual, _ := s.Latencies.Quantile(0.5)
	return max(delay, lateFactor*usual, minDelay), ok
}

// Decision is the decision about one request.
type Decision struct {
	Reason Reason
	// At is when to decide again: for the reason NotLate when the request is late, for a
	// reason that may pass when it has waited as long again. It is zero for the others.
	At time.Time
}

// Decide decides whether a request gets a second attempt now. Other is the endpoint that it
// would be sent to, nil if there is none or it is not chosen yet: the reason is NoEndpoint
// only if no other bound forbids the attempt.
func Decide(r Request, s Service, first Endpoint, other *Endpoint, now time.Time) Decision {
	if reason := r.refusal(s.Share); reason != "" {
		return Decision{Reason: reason}
	}
	delay, ok := s.lateAfter()
	lateAt := r.SentAt.Add(delay)
	half := r.SentAt.Add(r.Deadline.Sub(r.SentAt) / 2)
	switch {
	case !ok:
		return Decision{Reason: FewSamples}
	case lateAt.After(half), now.After(half):
		return Decision{Reason: NearDeadline}
	case now.Before(lateAt):
		return Decision{Reason: NotLate, At: lateAt}
	}
	waited := now.Sub(r.SentAt)
	reason := s.refusal(first, other, waited, now)
	if reason == Sent {
		return Decision{Reason: Sent}
	}
	return Decision{Reason: reason, At: now.Add(waited)}
}

// refusal returns why the request itself must not be sent twice, "" if it may be.
func (r Request) refusal(share float64) Reason {
	switch {
	case share <= 0:
		return Off
	case !r.Repeatable:
		return NotRepeatable
	case r.Ended:
		return Ended
	case r.SentBefore:
		return SentBefore
	case r.Suspect:
		return Suspect
	case r.MaxRuns > 0 && r.Runs >= r.MaxRuns:
		return AttemptsExhausted
	}
	return ""
}

// refusal returns why a request that has waited for a time is not sent a second time, or
// Sent.
func (s Service) refusal(first Endpoint, other *Endpoint, waited time.Duration, now time.Time) Reason {
	switch {
	case s.short(now):
		return ShortOfCapacity
	case !s.Counts.Allows():
		return ShareSpent
	case !AllowsBudget(s.Budget, s.MaxBudget):
		return BudgetLow
	case other == nil:
		return NoEndpoint
	case other.Slots > 0 && other.Requests >= other.Slots:
		return ShortOfCapacity
	case s.equallyLate(first, *other, waited):
		return EquallyLate
	}
	return Sent
}

// AllowsBudget reports whether a retry budget has enough left for a second attempt.
func AllowsBudget(budget, maxBudget float64) bool {
	return budget >= 1 && budget > budgetReserve*maxBudget
}

// equallyLate reports whether the other endpoint is not expected to respond before the
// first one. Where latencies have a long tail, a request that has waited for some time is
// expected to wait about as long again, so the other one must usually respond within that.
func (s Service) equallyLate(first, other Endpoint, waited time.Duration) bool {
	if other.Overdue > 0 || other.slowdown() > 1 && other.slowdown() >= first.slowdown() {
		return true
	}
	usual, _ := s.Latencies.Quantile(0.5)
	return time.Duration(float64(usual)*other.slowdown()) > waited
}
