package reserver

import (
	"container/list"
	"context"
	"expvar"
	"net"
	"runtime"
	"sync"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
)

const (
	// clientShare is the share of the memory of the process that connections, request heads
	// and bodies may take together. The bodies alone may take 0.5; the rest of it keeps 2,000
	// idle connections of a process with 284 MB beside them.
	clientShare = 0.55
	// connectionBytes is what a connection takes: two buffers of 4 KiB, the stacks of its
	// goroutines and its state. Measured: 8.5 KB for one that sends nothing.
	connectionBytes = 20 << 10
	// fieldBytes is what a header field takes beside twice its text while it is decoded: its
	// entry in a map that doubles, its list of values and two allocations. Measured for 3 to
	// 15 bytes on the wire: 24 to 112 bytes are held afterwards, and 190 allocated in all,
	// which are not collected at once.
	fieldBytes = 192
	// descriptorShare is the share of the descriptors of the process that connections of
	// clients may have. The rest is for files, endpoints, the store and other nodes.
	descriptorShare = 0.6
	// collectShare is the share of the memory for clients after whose release the garbage is
	// collected. Without that, a group of clients whose heads are decoded and given up at a
	// high rate takes the process above the limit of the runtime, which is a soft one: 93
	// instead of 85 MB at most in a process with 96 MB.
	collectShare = 0.1
	// requestShare is the share of the memory for clients up to which requests and bodies are
	// taken. The rest is for connections and heads of requests that are refused, which tells
	// their clients more than a closed connection.
	requestShare = 0.95
	// endingShare is the share of the memory for clients that closed connections may still
	// take until their goroutines have ended. Beyond it, no connection is accepted for
	// maxEndWait: a process that is short of processor would otherwise accept a group faster
	// than it gets rid of it.
	endingShare = 0.1
	maxEndWait  = 100 * time.Millisecond
	// closeReportInterval is the least time between two reports of closed connections.
	closeReportInterval = time.Second
)

// HeadBytes returns the memory that a request head takes, with so many bytes and fields on
// the wire. A decoded field takes many times its own bytes.
func HeadBytes(size, fields int) int64 { return 2*int64(size) + fieldBytes*int64(fields) }

// Resource is what a node holds for its clients in a limited amount.
type Resource string

// The resources, named as in metrics and log lines.
const (
	ClientMemory      Resource = "memory"
	ClientDescriptors Resource = "descriptors"
	// ClientHead is the size of a single request head. It is not exhausted by others.
	ClientHead Resource = "head"
)

// Client is the connection of a client.
type Client interface {
	RemoteAddr() net.Addr
	// CloseNow closes the connection at once.
	CloseNow()
}

// Closed describes a connection that was closed because a resource was exhausted.
type Closed struct {
	Resource Resource
	Address  net.Addr
	// Account is the client account of its last request, empty if none was identified.
	Account string
	// Bytes is the memory that was held for the connection.
	Bytes int64
	// Waited is the time without progress of the client.
	Waited time.Duration
	// Count is the number of connections closed since the last report, this one included.
	Count int
}

var (
	clientBytes       = expvar.NewInt("client-held-bytes")
	clientConnections = expvar.NewInt("client-connections")
	closedClients     = expvar.NewMap("client-connections-closed")
)

// Clients accounts for what a process holds for its clients, whatever port they use:
// connections, request heads with their decoded fields, and bodies. When a resource is
// exhausted, the connection is closed that has held resources longest without progress of
// its client. One whose client waits for this node is not closed: a client that does what
// it has to do is served, however long that takes. A nil Clients has no bounds.
type Clients struct {
	clock          timekeeper.Clock
	maxBytes       int64
	maxConnections int

	// mu is taken after the locks of connections, and none is taken while it is held.
	mu          sync.Mutex
	bytes       int64
	connections int
	// waiting has the holdings of the connections for whose clients this node waits, the
	// longest first.
	waiting list.List
	report  func(Closed)
	// uncollected is what was given up since the garbage was last collected.
	uncollected int64
	// ending is what closed connections still take, and ended is signalled when it falls.
	ending     int64
	ended      sync.Cond
	unreported int
	lastReport time.Time
	everClosed bool
}

// NewClients returns the account of a process that may hold so many bytes for clients and
// so many connections of them; 0 means no bound.
func NewClients(maxBytes int64, maxConnections int, clock timekeeper.Clock) *Clients {
	c := &Clients{clock: clock, maxBytes: maxBytes, maxConnections: maxConnections}
	c.ended.L = &c.mu
	return c
}

// Report sets what is called after a connection was closed, at most once a second.
func (c *Clients) Report(report func(Closed)) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report = report
}

// Holding is what is held for one connection. A nil Holding accounts for nothing.
type Holding struct {
	clients *Clients
	client  Client
	// The other fields are guarded by the lock of clients.
	//
	// place is that in waiting, nil if the node does not wait for the client.
	place *list.Element
	since time.Time
	bytes int64
	// closed means that the connection is no longer in the account, ending that it was closed
	// to make room and still takes memory.
	closed, ending bool
	// account is the client account of the last request.
	account string
}

// SetAccount records the client account of a request on the connection.
func (h *Holding) SetAccount(name string) {
	if h == nil {
		return
	}
	h.clients.mu.Lock()
	defer h.clients.mu.Unlock()
	h.account = name
}

// AwaitEnd waits a short time for closed connections to end, if they still take much. It is
// called before a connection is accepted.
func (c *Clients) AwaitEnd() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.muchEndingLocked() {
		return
	}
	expired := false
	defer c.clock.AfterFunc(maxEndWait, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		expired = true
		c.ended.Broadcast()
	}).Stop()
	for !expired && c.muchEndingLocked() {
		c.ended.Wait()
	}
}

func (c *Clients) muchEndingLocked() bool {
	return c.maxBytes > 0 && float64(c.ending) > endingShare*float64(c.maxBytes)
}

// Open accounts for a new connection, for whose client the node waits.
func (c *Clients) Open(client Client) *Holding {
	if c == nil {
		return nil
	}
	h := &Holding{clients: c, client: client, bytes: connectionBytes}
	c.mu.Lock()
	c.connections++
	c.addLocked(connectionBytes)
	clientConnections.Add(1)
	h.progressLocked()
	victims := c.makeRoomLocked(c.maxBytes, nil)
	c.mu.Unlock()
	c.close(victims)
	return h
}

// Close ends the account of a connection that is closed.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	c := h.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	h.forgetLocked()
	if h.ending {
		h.ending = false
		c.ending -= h.bytes
		c.ended.Broadcast()
	}
}

func (h *Holding) forgetLocked() {
	if h.closed {
		return
	}
	c := h.clients
	h.closed = true
	h.stopWaitingLocked()
	c.connections--
	clientConnections.Add(-1)
	c.addLocked(-h.bytes)
}

func (c *Clients) addLocked(n int64) {
	c.bytes += n
	clientBytes.Add(n)
}

// Grow accounts for n further bytes, which may be negative. It reports whether the
// connection is open: it may be the one that was closed for them.
func (h *Holding) Grow(n int64) bool { return h.grow(n, nil) }

// Hold accounts for n further bytes of a response. Unlike Grow, it never closes the
// connection itself: the request was read, so it gets its response.
func (h *Holding) Hold(n int64) bool { return h.grow(n, h) }

// grow accounts for n further bytes, for which kept is not closed.
func (h *Holding) grow(n int64, kept *Holding) bool {
	if h == nil {
		return true
	}
	c := h.clients
	c.mu.Lock()
	if h.closed {
		c.mu.Unlock()
		return false
	}
	h.bytes += n
	c.addLocked(n)
	var victims []victim
	if n > 0 {
		victims = c.makeRoomLocked(c.maxBytes, kept)
	}
	open := !h.closed
	c.mu.Unlock()
	c.close(victims)
	return open
}

// Await records that the node waits for the client from now on, and reports whether it did
// not before.
func (h *Holding) Await() bool {
	if h == nil {
		return false
	}
	h.clients.mu.Lock()
	defer h.clients.mu.Unlock()
	if h.closed || h.place != nil {
		return false
	}
	h.progressLocked()
	return true
}

// Progress records that the client has done a part of what the node waits for.
func (h *Holding) Progress() {
	if h == nil {
		return
	}
	h.clients.mu.Lock()
	defer h.clients.mu.Unlock()
	if !h.closed && h.place != nil {
		h.progressLocked()
	}
}

func (h *Holding) progressLocked() {
	c := h.clients
	h.since = c.clock.Now()
	if h.place == nil {
		h.place = c.waiting.PushBack(h)
		return
	}
	c.waiting.MoveToBack(h.place)
}

func (h *Holding) stopWaitingLocked() {
	if h.place != nil {
		h.clients.waiting.Remove(h.place)
		h.place = nil
	}
}

// Serve records that the client waits for the node.
func (h *Holding) Serve() {
	if h == nil {
		return
	}
	h.clients.mu.Lock()
	defer h.clients.mu.Unlock()
	h.stopWaitingLocked()
}

// victim is a connection to be closed.
type victim struct {
	client Client
	report Closed
	// reportTo is nil if the connection was closed soon after another that was reported.
	reportTo func(Closed)
}

// makeRoomLocked takes connections out of the account until no more than maxBytes are held
// and no more connections than allowed, or no connection but the kept one waits for its
// client. It returns those to be closed.
func (c *Clients) makeRoomLocked(maxBytes int64, kept *Holding) []victim {
	var victims []victim
	for {
		resource, exhausted := c.exhaustedLocked(maxBytes)
		if !exhausted || c.waiting.Len() == 0 {
			return victims
		}
		oldest, _ := c.waiting.Front().Value.(*Holding)
		if oldest == kept {
			return victims
		}
		victims = append(victims, c.evictLocked(oldest, resource))
	}
}

// evictLocked takes a connection out of the account that is to be closed.
func (c *Clients) evictLocked(h *Holding, resource Resource) victim {
	now := c.clock.Now()
	c.unreported++
	v := victim{client: h.client, report: Closed{
		Resource: resource, Address: h.client.RemoteAddr(), Account: h.account, Bytes: h.bytes, Waited: now.Sub(h.since), Count: c.unreported,
	}}
	if !c.everClosed || now.Sub(c.lastReport) >= closeReportInterval {
		v.reportTo, c.everClosed, c.lastReport, c.unreported = c.report, true, now, 0
	}
	closedClients.Add(string(resource), 1)
	c.uncollected += h.bytes
	h.forgetLocked()
	h.ending = true
	c.ending += h.bytes
	return v
}

// CloseFor closes the connection because of a resource that it has used up alone.
func (h *Holding) CloseFor(resource Resource) {
	if h == nil {
		return
	}
	c := h.clients
	c.mu.Lock()
	var victims []victim
	if !h.closed {
		victims = append(victims, c.evictLocked(h, resource))
	}
	c.mu.Unlock()
	c.close(victims)
}

// exhaustedLocked returns the resource of which more is held than there is.
func (c *Clients) exhaustedLocked(maxBytes int64) (Resource, bool) {
	switch {
	case c.maxConnections > 0 && c.connections > c.maxConnections:
		return ClientDescriptors, true
	case maxBytes > 0 && c.bytes > maxBytes:
		return ClientMemory, true
	}
	return "", false
}

// close closes connections that are no longer in the account.
func (c *Clients) close(victims []victim) {
	for _, v := range victims {
		v.client.CloseNow()
		if v.reportTo != nil {
			v.reportTo(v.report)
		}
	}
	if len(victims) > 0 && c.takeUncollected() {
		runtime.GC()
	}
}

// takeUncollected reports whether enough was given up for a collection of the garbage, and
// if so begins to count again.
func (c *Clients) takeUncollected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxBytes <= 0 || float64(c.uncollected) < collectShare*float64(c.maxBytes) {
		return false
	}
	c.uncollected = 0
	return true
}

// Reserve accounts for n further bytes of a request on the connection, and reports whether
// there is memory for them. The connection stays open, so that the request can be refused.
func (h *Holding) Reserve(n int64) bool {
	if h == nil {
		return true
	}
	if !h.clients.reserve(h, n) {
		return false
	}
	h.clients.mu.Lock()
	defer h.clients.mu.Unlock()
	if h.closed {
		h.clients.addLocked(-n)
		return false
	}
	h.bytes += n
	return true
}

// reserve accounts for n bytes of a request, and reports whether there is memory for them.
func (c *Clients) reserve(kept *Holding, n int64) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	c.addLocked(n)
	limit := int64(requestShare * float64(c.maxBytes))
	victims := c.makeRoomLocked(limit, kept)
	ok := limit <= 0 || c.bytes <= limit
	if !ok {
		c.addLocked(-n)
	}
	c.mu.Unlock()
	c.close(victims)
	return ok
}

// releaseBody ends the account of n bytes of a body.
func (c *Clients) releaseBody(n int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(-n)
}

// holdingKey is the key of the holding in the context of a request.
type holdingKey struct{}

// WithHolding returns a context of the requests on the connection of a holding.
func WithHolding(ctx context.Context, h *Holding) context.Context {
	return context.WithValue(ctx, holdingKey{}, h)
}

// HoldingOf returns the holding of the connection of a request, by its context; nil if its
// connection is not accounted for.
func HoldingOf(ctx context.Context) *Holding {
	h, _ := ctx.Value(holdingKey{}).(*Holding)
	return h
}
