// Package admitter decides which requests are let in, and in which order those
// that wait are served.
//
// The order is weighted fair queueing by client account: each account has a
// virtual finish time that grows by work / share when a request of it starts,
// and the account with the lowest start goes next. So an account that floods
// waits behind itself and not before others. Work is what a request costs an
// engine; it is an estimate until the request ends and is corrected then.
// Requests that cannot be answered in time are refused when they arrive, since
// the caller can still do something else.
package admitter

import (
	"container/heap"
	"time"
)

// Item is a request that waits.
type Item[T any] struct {
	Value    T
	Account  string
	Share    float64
	Priority int
	Work     float64
	Deadline time.Time
}

// Fair orders the items of one deployment. The zero value is empty.
//
// It is not safe for concurrent use; the queue that holds it locks it.
type Fair[T any] struct {
	lines     map[string]*line[T]
	active    ordered[*line[T], byStart[T]]
	deadlines ordered[*queued[T], byDeadline[T]]
	// virtual is the start of the item served last.
	virtual float64
	shares  float64
	work    float64
	serial  uint64
}

// line holds the items of one account, the highest priority first.
type line[T any] struct {
	account string
	share   float64
	// start is the virtual time at which the next item starts, once the
	// account has waiting items; before that it is the finish of the last one.
	start float64
	work  float64
	// byPriority is the work of the items by their priority.
	byPriority [priorities]float64
	items      ordered[*queued[T], byPriority[T]]
	place      int
	// turn orders accounts with the same start: the one served longest ago first.
	turn uint64
}

// priorities is the number of priorities that a route can have.
const priorities = 10

func level(priority int) int { return min(max(priority, 0), priorities-1) }

type queued[T any] struct {
	Item[T]
	line   *line[T]
	serial uint64
	// place and due are positions in the two heaps.
	place int
	due   int
}

// Len returns the number of items.
func (f *Fair[T]) Len() int { return len(f.deadlines) }

// Work returns the work of all items.
func (f *Fair[T]) Work() float64 { return f.work }

// Shares returns the sum of the shares of the accounts with items.
func (f *Fair[T]) Shares() float64 { return f.shares }

// WaitingOf returns the number of items of an account.
func (f *Fair[T]) WaitingOf(account string) int {
	if l, ok := f.lines[account]; ok {
		return len(l.items)
	}
	return 0
}

// Add puts an item into the line of its account.
func (f *Fair[T]) Add(it Item[T]) {
	l := f.line(it.Account)
	if len(l.items) > 0 {
		f.shares += max(it.Share, 1) - l.share
	}
	l.share = max(it.Share, 1)
	q := &queued[T]{Item: it, line: l, serial: f.serial}
	f.serial++
	heap.Push(&l.items, q)
	heap.Push(&f.deadlines, q)
	if len(l.items) == 1 {
		// An account that was away gets no credit for that time.
		l.start = max(l.start, f.virtual)
		l.turn = q.serial
		f.shares += l.share
		heap.Push(&f.active, l)
	}
	l.work += it.Work
	l.byPriority[level(it.Priority)] += it.Work
	f.work += it.Work
}

// Next takes out the item that is served next.
func (f *Fair[T]) Next() (Item[T], bool) {
	if len(f.active) == 0 {
		return Item[T]{}, false
	}
	l := f.active[0]
	q := l.items[0]
	f.virtual = max(f.virtual, l.start)
	l.start += q.Work / l.share
	l.turn = f.serial
	f.serial++
	f.remove(q)
	return q.Item, true
}

// Expire takes out the items whose deadline has come.
func (f *Fair[T]) Expire(now time.Time) []Item[T] {
	var out []Item[T]
	for len(f.deadlines) > 0 && !now.Before(f.deadlines[0].Deadline) {
		q := f.deadlines[0]
		f.remove(q)
		out = append(out, q.Item)
	}
	return out
}

// FirstDeadline returns the earliest deadline of an item.
func (f *Fair[T]) FirstDeadline() (time.Time, bool) {
	if len(f.deadlines) == 0 {
		return time.Time{}, false
	}
	return f.deadlines[0].Deadline, true
}

// Charge adds work to what an account has had, or takes it off.
//
// Work that differs from its estimate is charged when a request ends, work on
// other nodes as it becomes known. The lead over the others is bounded by most,
// so that wrong figures cannot shut an account out.
func (f *Fair[T]) Charge(account string, work, most float64) {
	l := f.line(account)
	start := l.start + work/max(l.share, 1)
	if work > 0 {
		start = min(start, max(f.virtual+most/max(l.share, 1), l.start))
	}
	l.start = max(start, f.virtual)
	if len(l.items) > 0 {
		heap.Fix(&f.active, l.place)
	}
}

// Ahead returns the work that would be served before a new item of an account.
func (f *Fair[T]) Ahead(account string, share float64, priority int) float64 {
	shares, lead := f.shares, 0.0
	l, ok := f.lines[account]
	if ok {
		lead = max(l.start-f.virtual, 0)
		for _, work := range l.byPriority[level(priority):] {
			lead += work / l.share
		}
	}
	if !ok || len(l.items) == 0 {
		shares += max(share, 1)
	}
	// While the account gets lead x share, the others get at most the same in
	// proportion, and never more than what they have waiting.
	own := lead * max(share, 1)
	others := f.work
	if ok {
		others -= l.work
	}
	return own + min(others, lead*(shares-max(share, 1)))
}

// Waiting calls visit for each account with items.
func (f *Fair[T]) Waiting(visit func(account string, items int, work, share float64)) {
	for _, l := range f.active {
		visit(l.account, len(l.items), l.work, l.share)
	}
}

func (f *Fair[T]) line(account string) *line[T] {
	l, ok := f.lines[account]
	if !ok {
		if f.lines == nil {
			f.lines = make(map[string]*line[T])
		}
		l = &line[T]{account: account, share: 1, start: f.virtual}
		f.lines[account] = l
	}
	return l
}

// Forget drops what is kept of accounts that have nothing waiting and no lead.
func (f *Fair[T]) Forget() {
	for name, l := range f.lines {
		if len(l.items) == 0 && l.start <= f.virtual {
			delete(f.lines, name)
		}
	}
}

func (f *Fair[T]) remove(q *queued[T]) {
	l := q.line
	heap.Remove(&l.items, q.place)
	heap.Remove(&f.deadlines, q.due)
	l.work -= q.Work
	l.byPriority[level(q.Priority)] -= q.Work
	f.work -= q.Work
	if len(l.items) > 0 {
		heap.Fix(&f.active, l.place)
		return
	}
	l.work, l.byPriority = 0, [priorities]float64{}
	f.shares -= l.share
	heap.Remove(&f.active, l.place)
	if len(f.deadlines) == 0 {
		f.work, f.shares = 0, 0
	}
}
