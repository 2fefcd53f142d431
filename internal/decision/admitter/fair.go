// Package admitter decides which requests are admitted and in which order queued
// requests are served.
//
// The order is weighted fair queueing by client account: each account has a
// virtual finish time that grows by work / share when one of its requests
// starts, and the account with the lowest virtual start time is served next. So
// an account that floods the queue delays itself and not the others. Work is
// what a request costs an engine; it is an estimate until the request ends and
// is corrected then. Requests that cannot be completed in time are refused on
// arrival, when the caller can still do something else.
package admitter

import (
	"container/heap"
	"time"
)

// Item is a queued request.
type Item[T any] struct {
	Value    T
	Account  string
	Share    float64
	Priority int
	Work     float64
	Deadline time.Time
}

// FairQueue is the fair queue of one deployment. The zero value is empty.
//
// It is not safe for concurrent use; the queue that owns it locks it.
type FairQueue[T any] struct {
	accounts  map[string]*accountQueue[T]
	active    indexedHeap[*accountQueue[T], byStart[T]]
	deadlines indexedHeap[*queuedItem[T], byDeadline[T]]
	// virtualTime is the virtual start time of the item served last.
	virtualTime float64
	shares      float64
	work        float64
	sequence    uint64
}

// accountQueue holds the items of one account, the highest priority first.
type accountQueue[T any] struct {
	account string
	share   float64
	// start is the virtual time at which the next item starts if the account has
	// queued items, else the virtual finish time of its last item.
	start float64
	work  float64
	// byPriority is the work of the items by priority.
	byPriority [priorityLevels]float64
	items      indexedHeap[*queuedItem[T], byPriority[T]]
	index      int
	// tieBreaker orders accounts with the same start: the one served longest ago
	// comes first.
	tieBreaker uint64
}

// priorityLevels is the number of priorities that a route can have.
const priorityLevels = 10

func clampPriority(priority int) int { return min(max(priority, 0), priorityLevels-1) }

type queuedItem[T any] struct {
	Item[T]
	queue    *accountQueue[T]
	sequence uint64
	// index and deadlineIndex are the positions in the two heaps.
	index         int
	deadlineIndex int
}

// Len returns the number of items.
func (f *FairQueue[T]) Len() int { return len(f.deadlines) }

// Work returns the work of all items.
func (f *FairQueue[T]) Work() float64 { return f.work }

// Shares returns the sum of the shares of the accounts with items.
func (f *FairQueue[T]) Shares() float64 { return f.shares }

// QueuedOf returns the number of items of an account.
func (f *FairQueue[T]) QueuedOf(account string) int {
	if a, ok := f.accounts[account]; ok {
		return len(a.items)
	}
	return 0
}

// Add appends an item to the queue of its account.
func (f *FairQueue[T]) Add(it Item[T]) {
	a := f.accountQueue(it.Account)
	if len(a.items) > 0 {
		f.shares += max(it.Share, 1) - a.share
	}
	a.share = max(it.Share, 1)
	q := &queuedItem[T]{Item: it, queue: a, sequence: f.sequence}
	f.sequence++
	heap.Push(&a.items, q)
	heap.Push(&f.deadlines, q)
	if len(a.items) == 1 {
		// An account gets no credit for the time in which it had nothing queued.
		a.start = max(a.start, f.virtualTime)
		a.tieBreaker = q.sequence
		f.shares += a.share
		heap.Push(&f.active, a)
	}
	a.work += it.Work
	a.byPriority[clampPriority(it.Priority)] += it.Work
	f.work += it.Work
}

// Next removes and returns the item to serve next.
func (f *FairQueue[T]) Next() (Item[T], bool) {
	if len(f.active) == 0 {
		return Item[T]{}, false
	}
	a := f.active[0]
	q := a.items[0]
	f.virtualTime = max(f.virtualTime, a.start)
	a.start += q.Work / a.share
	a.tieBreaker = f.sequence
	f.sequence++
	f.remove(q)
	return q.Item, true
}

// Expire removes and returns the items whose deadline has passed.
func (f *FairQueue[T]) Expire(now time.Time) []Item[T] {
	var out []Item[T]
	for len(f.deadlines) > 0 && !now.Before(f.deadlines[0].Deadline) {
		q := f.deadlines[0]
		f.remove(q)
		out = append(out, q.Item)
	}
	return out
}

// FirstDeadline returns the earliest deadline of an item.
func (f *FairQueue[T]) FirstDeadline() (time.Time, bool) {
	if len(f.deadlines) == 0 {
		return time.Time{}, false
	}
	return f.deadlines[0].Deadline, true
}

// Charge adds work to what an account has been served; negative work is a credit.
//
// The difference between work and its estimate is charged when a request ends,
// work on other nodes when it becomes known. The lead over the other accounts is
// bounded by maxLead, so that wrong figures cannot shut an account out.
func (f *FairQueue[T]) Charge(account string, work, maxLead float64) {
	a := f.accountQueue(account)
	start := a.start + work/max(a.share, 1)
	if work > 0 {
		start = min(start, max(f.virtualTime+maxLead/max(a.share, 1), a.start))
	}
	a.start = max(start, f.virtualTime)
	if len(a.items) > 0 {
		heap.Fix(&f.active, a.index)
	}
}

// WorkAhead estimates the work that would be served before a new item of an
// account.
func (f *FairQueue[T]) WorkAhead(account string, share float64, priority int) float64 {
	shares, lead := f.shares, 0.0
	a, ok := f.accounts[account]
	if ok {
		lead = max(a.start-f.virtualTime, 0)
		for _, work := range a.byPriority[clampPriority(priority):] {
			lead += work / a.share
		}
	}
	if !ok || len(a.items) == 0 {
		shares += max(share, 1)
	}
	// While the account is served lead × share, the others are served at most the
	// same in proportion to their shares, and never more than they have queued.
	own := lead * max(share, 1)
	others := f.work
	if ok {
		others -= a.work
	}
	return own + min(others, lead*(shares-max(share, 1)))
}

// EachAccount calls visit for each account with queued items.
func (f *FairQueue[T]) EachAccount(visit func(account string, items int, work, share float64)) {
	for _, a := range f.active {
		visit(a.account, len(a.items), a.work, a.share)
	}
}

func (f *FairQueue[T]) accountQueue(account string) *accountQueue[T] {
	a, ok := f.accounts[account]
	if !ok {
		if f.accounts == nil {
			f.accounts = make(map[string]*accountQueue[T])
		}
		a = &accountQueue[T]{account: account, share: 1, start: f.virtualTime}
		f.accounts[account] = a
	}
	return a
}

// Forget drops the state of accounts with nothing queued and no lead.
func (f *FairQueue[T]) Forget() {
	for name, a := range f.accounts {
		if len(a.items) == 0 && a.start <= f.virtualTime {
			delete(f.accounts, name)
		}
	}
}

func (f *FairQueue[T]) remove(q *queuedItem[T]) {
	a := q.queue
	heap.Remove(&a.items, q.index)
	heap.Remove(&f.deadlines, q.deadlineIndex)
	a.work -= q.Work
	a.byPriority[clampPriority(q.Priority)] -= q.Work
	f.work -= q.Work
	if len(a.items) > 0 {
		heap.Fix(&f.active, a.index)
		return
	}
	a.work, a.byPriority = 0, [priorityLevels]float64{}
	f.shares -= a.share
	heap.Remove(&f.active, a.index)
	if len(f.deadlines) == 0 {
		f.work, f.shares = 0, 0
	}
}
