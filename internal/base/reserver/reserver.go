// Package reserver bounds the memory that a node uses for the data of other parties.
//
// The body of a request is held until the request has ended, and a response may be held
// before it is passed on. Without a common bound, requests that are each within their
// limits take the process above its memory, and every request on the node ends with it.
// What is held is reserved here first: a body waits without being read until there is
// memory for it, or its request is refused.
package reserver

import (
	"context"
	"errors"
	"expvar"
	"io"
	"math"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

// ShortBody is the size in bytes up to which the body of a request is short. Short and
// long bodies have memory of their own, so that short ones do not wait for long ones.
const ShortBody = 64 << 10

// The shares of the memory of the process that may be reserved. The rest is for the
// program itself, its connections and the garbage collector.
const (
	shortBodyShare = 0.05
	longBodyShare  = 0.45
	responseShare  = 0.1
	// runtimeShare is what the garbage collector tries to stay below, what is reserved
	// included.
	runtimeShare = 0.7
	// codeBytes is memory of the process that the runtime does not count: most of its code,
	// of which 17 MB are resident in a node.
	codeBytes = 10 << 20
)

// LimitRuntime sets the memory limit of the Go runtime for a process that may use size
// bytes in all; 0 leaves it as it is.
func LimitRuntime(size int64) {
	if size > codeBytes {
		debug.SetMemoryLimit(int64(runtimeShare * float64(size-codeBytes)))
	}
}

// Memory is the memory of a process for the data of others. A nil Memory has no bound.
type Memory struct {
	short, long, responses pool
	clients                *Clients
}

// New returns the memory for the data of others of a process that may use size bytes in
// all; 0 means that there is no bound.
func New(size int64, clock timekeeper.Clock) *Memory {
	if size <= 0 {
		return nil
	}
	clients := NewClients(int64(clientShare*float64(size)), maxConnections(), clock)
	part := func(share float64, account *Clients) pool {
		n := int64(share * float64(size))
		return pool{clock: clock, size: n, free: semaphore.NewWeighted(n), clients: account}
	}
	return &Memory{
		short: part(shortBodyShare, clients), long: part(longBodyShare, clients), responses: part(responseShare, nil), clients: clients,
	}
}

// Clients returns the account of what is held for clients, bodies included.
func (m *Memory) Clients() *Clients {
	if m == nil {
		return nil
	}
	return m.clients
}

// maxConnections returns how many connections clients may have, 0 if that is not known.
func maxConnections() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(descriptorShare * float64(limit.Cur))
}

var (
	reserved = expvar.NewInt("memory-reserved-bytes")
	refused  = expvar.NewInt("memory-reservations-refused")
)

// pool is memory for one kind of data.
type pool struct {
	clock timekeeper.Clock
	size  int64
	free  *semaphore.Weighted
	// clients has the account of this kind of data; nil if it is not held for clients.
	clients *Clients
}

// Reservation is memory that is held for one piece of data. Its zero value holds none.
type Reservation struct {
	free    *semaphore.Weighted
	clients *Clients
	size    int64
}

// Release gives the memory back. It is called once.
func (r Reservation) Release() {
	if r.free == nil {
		return
	}
	reserved.Add(-r.size)
	r.clients.releaseBody(r.size)
	r.free.Release(r.size)
}

// WithSize gives back what the reservation holds beyond size bytes, and returns the
// reservation of the rest, which takes the place of the receiver.
func (r Reservation) WithSize(size int64) Reservation {
	if r.free == nil || size >= r.size {
		return r
	}
	Reservation{free: r.free, clients: r.clients, size: r.size - size}.Release()
	return Reservation{free: r.free, clients: r.clients, size: size}
}

// reserve waits for memory; MemoryFull if there is none within the given time.
func (p *pool) reserve(ctx context.Context, size int64, wait time.Duration) (Reservation, error) {
	if size > p.size {
		refused.Add(1)
		return Reservation{}, coder.Refuse(coder.MemoryFull, "%d bytes are more than the node has for data of this kind", size)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer p.clock.AfterFunc(wait, cancel).Stop()
	if p.free.Acquire(ctx, size) != nil {
		refused.Add(1)
		return Reservation{}, coder.Refuse(coder.MemoryFull, "the node had no memory for %d bytes within %v", size, wait).WithRetryAfter(wait)
	}
	if !p.clients.reserve(HoldingOf(ctx), size) {
		p.free.Release(size)
		refused.Add(1)
		return Reservation{}, coder.Refuse(coder.MemoryFull, "the node holds too much for other clients to hold %d bytes", size).WithRetryAfter(wait)
	}
	return p.held(size), nil
}

func (p *pool) held(size int64) Reservation {
	reserved.Add(size)
	return Reservation{free: p.free, clients: p.clients, size: size}
}

// ReserveResponse reserves memory for a part of a response, and reports whether there is
// any now.
func (m *Memory) ReserveResponse(size int64) (Reservation, bool) {
	if m == nil {
		return Reservation{}, true
	}
	if !m.responses.free.TryAcquire(size) {
		return Reservation{}, false
	}
	return m.responses.held(size), true
}

// AwaitResponse reserves memory for a part of a response; MemoryFull if there is none
// within the given time.
func (m *Memory) AwaitResponse(ctx context.Context, size int64, wait time.Duration) (Reservation, error) {
	if m == nil {
		return Reservation{}, nil
	}
	return m.responses.reserve(ctx, size, wait)
}

// ReadBody reads the body of a request and reserves the memory for it. Length is its
// number of bytes, or -1 if that is unknown; a longer body than limit has the error of
// body. MemoryFull if there is no memory within the given time; no byte of a body with a
// length has been read then. The reservation is released when the request has ended; it
// holds nothing after an error.
func (m *Memory) ReadBody(ctx context.Context, body io.Reader, length, limit int64, wait time.Duration) ([]byte, Reservation, error) {
	if length == 0 {
		return nil, Reservation{}, nil
	}
	if length > 0 {
		held, err := m.reserveBody(ctx, length, wait)
		if err != nil {
			return nil, held, err
		}
		return readReserved(body, make([]byte, length), held)
	}
	if m == nil {
		data, err := io.ReadAll(body)
		return finishRead(data, Reservation{}, err)
	}
	held, err := m.reserveBody(ctx, ShortBody, wait)
	if err != nil {
		return nil, held, err
	}
	first, err := io.ReadAll(io.LimitReader(body, ShortBody))
	if err != nil || len(first) < ShortBody {
		return finishRead(first, held, err)
	}
	longer, err := m.reserveBody(ctx, limit+1, wait)
	defer held.Release()
	if err != nil {
		return nil, longer, err
	}
	data := append(takeSpare(limit+1), first...)
	n, err := io.ReadFull(body, data[len(first):cap(data)])
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		err = nil
	}
	if data = data[:len(first)+n]; err == nil && len(data) > cap(data)/2 {
		// A copy would take as much memory again, and nothing is reserved for it.
		return finishRead(data, longer, nil)
	}
	defer spares.Put(&data)
	if err != nil {
		return finishRead(nil, longer, err)
	}
	return finishRead(append([]byte(nil), data...), longer, nil)
}

// spares are buffers of bodies that were not read completely or were much shorter. Clients
// whose bodies are all over the limit would otherwise leave garbage faster than it is
// collected: 60 of them took a process with 96 MB to 137 MB.
var spares sync.Pool

// takeSpare returns an empty buffer of a capacity.
func takeSpare(size int64) []byte {
	if b, ok := spares.Get().(*[]byte); ok && int64(cap(*b)) >= size {
		return (*b)[:0:size]
	}
	return make([]byte, 0, size)
}

// readReserved reads a body of known length.
func readReserved(body io.Reader, data []byte, held Reservation) ([]byte, Reservation, error) {
	_, err := io.ReadFull(body, data)
	return finishRead(data, held, err)
}

// finishRead returns the body with the reservation of its capacity, or releases that if the
// body was not read completely.
func finishRead(data []byte, held Reservation, err error) ([]byte, Reservation, error) {
	if err != nil {
		held.Release()
		return nil, Reservation{}, err
	}
	return data, held.WithSize(int64(cap(data))), nil
}

// reserveBody reserves memory for a body.
func (m *Memory) reserveBody(ctx context.Context, size int64, wait time.Duration) (Reservation, error) {
	switch {
	case m == nil:
		return Reservation{}, nil
	case size <= ShortBody:
		return m.short.reserve(ctx, size, wait)
	}
	return m.long.reserve(ctx, size, wait)
}
