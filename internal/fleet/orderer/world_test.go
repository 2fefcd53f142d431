package orderer_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/authority/sender"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/fleet/orderer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// simulation has three processes, one platform and one engine on one fake clock.
type simulation struct {
	t          interface{ Fatal(...any) }
	clock      *timekeeper.Fake
	memory     *provider.Memory
	engine     *generator.Engine
	deployment definer.Deployment
	nodes      []*node
	draining   map[string]bool
	targetVersion     string
	targets      int
	// violation is the first rule that was broken.
	violation string
	ticks  int
	names  int
	orders int
}

type faultKind int

const (
	none faultKind = iota
	loseResponse
	takeEffectLate
	pauseBefore
	pauseAfter
)

type place int

const (
	atLease  place = iota // a commit of the leaser
	atRecord              // a commit of the orderer
	atRead
	atDial
	atOrder
)

// fault happens at a call, after as many calls as skip says; span is how long
// the process is paused or the message under way.
type fault struct {
	kind faultKind
	skip int
	span time.Duration
	// repeats says that the fault happens at every later call, too.
	repeats bool
	// changesTarget says that something else is wanted half-way through a pause.
	changesTarget bool
}

// node is one process; faults has what happens at its next call of each kind.
type node struct {
	w       *simulation
	leaser  *leaser.Leaser
	orderer *orderer.Orderer
	paused  bool
	// partitioned says that the process does not reach the platform.
	partitioned    bool
	faults map[place]fault
}

func (w *simulation) newNode() *node {
	n := &node{w: w, faults: make(map[place]fault)}
	w.names++
	n.leaser = &leaser.Leaser{
		Clock:   w.clock,
		Table:   table{Memory: w.memory, n: n},
		Name:    fmt.Sprintf("process-%d", w.names),
		Watches: func() map[string]int { return map[string]int{"placement/d": 0} },
		Random:  func() float64 { return 0.5 },
	}
	send := sender.Sender{Holder: n.leaser, Dial: n.dial}
	n.orderer = &orderer.Orderer{
		Clock:         w.clock,
		Table:         n.leaser.Table,
		Holder:        n.leaser,
		Configs:       w,
		Endpoints:     w,
		Drains:        w,
		Policy:        w,
		Engines:       func(g leaser.Grant) orderer.Engines { return speaker.Client{}.WithTransport(send.WithGrant(g)) },
		Fleet:         func(leaser.Grant) supplier.Fleet { return w.memory },
		PlatformLimit: limit,
		NewID: func() string {
			w.orders++
			return fmt.Sprintf("ord-%04d", w.orders)
		},
	}
	return n
}

// exclusively runs f as this process; the process does nothing else meanwhile, even
// if f is paused and the others go on.
func (n *node) exclusively(f func()) {
	n.paused = true
	f()
	n.paused = false
}

// pause lets the others go on while the process that called stands still.
func (w *simulation) pause(f fault) {
	w.run(f.span / 2)
	if f.changesTarget {
		w.changeTarget()
	}
	w.run(f.span / 2)
}

// takeFault takes the fault for a call of this kind.
func (n *node) takeFault(p place) fault {
	f, ok := n.faults[p]
	if ok && f.skip > 0 {
		f.skip--
		n.faults[p] = f
		return fault{}
	}
	if !f.repeats {
		delete(n.faults, p)
	}
	return f
}

func (w *simulation) Config() (definer.Config, error) {
	return definer.New(definer.Definitions{Deployments: []definer.Deployment{w.deployment}}), nil
}

func (w *simulation) Of(string) []picker.Endpoint {
	return []picker.Endpoint{{ID: "e1", Address: "e1", DataCentre: "dc-1", Tier: definer.OnDemand}}
}

func (w *simulation) Listed(string) []string { return slices.Sorted(maps.Keys(w.draining)) }
func (w *simulation) Noticed(id string) bool { return w.draining[id] }

func (w *simulation) Begin(_ context.Context, _ leaser.Grant, _, id string) error {
	w.draining[id] = true
	return nil
}

func (w *simulation) End(_ context.Context, _ leaser.Grant, _, id string) error {
	delete(w.draining, id)
	return nil
}

func (w *simulation) Targets(definer.Deployment, []orderer.Engine) map[string]orderer.Target {
	return map[string]orderer.Target{"e1": {Version: w.targetVersion}}
}

func (w *simulation) Counts(definer.Deployment, []picker.Endpoint) []orderer.Count { return nil }

var errPartitioned = coder.Refuse(coder.PlatformUnavailable, "the process is cut off")

// table is the platform's table as one process reaches it.
type table struct {
	*provider.Memory
	n *node
}

func (t table) Get(ctx context.Context, key string) (transactor.Row, error) {
	if t.n.partitioned {
		return transactor.Row{}, errPartitioned
	}
	f := t.n.takeFault(atRead)
	if f.kind == pauseBefore {
		t.n.w.pause(f)
	}
	r, err := t.Memory.Get(ctx, key)
	if f.kind == pauseAfter {
		t.n.w.pause(f)
	}
	return r, err
}

func (t table) Commit(_ context.Context, tx transactor.Tx) (uint64, error) {
	errLostResponse := coder.New(coder.PlatformUnsure, "the answer was lost")
	commit := func() (uint64, error) { return t.n.w.commit(tx) }
	if t.n.partitioned {
		return 0, errPartitioned
	}
	at := atRecord
	if strings.HasPrefix(tx.Writes()[0].Key, "lease") {
		at = atLease
	}
	f := t.n.takeFault(at)
	switch f.kind {
	case pauseBefore:
		t.n.w.pause(f)
	case takeEffectLate:
		t.n.w.clock.AfterFunc(f.span, func() { _, _ = commit() })
		return 0, errLostResponse
	}
	v, err := commit()
	switch f.kind {
	case pauseAfter:
		t.n.w.pause(f)
	case loseResponse:
		return 0, errLostResponse
	}
	return v, err
}

// commit runs a transaction. A recorded order that did not take effect yet must
// not be overwritten by another.
func (w *simulation) commit(tx transactor.Tx) (uint64, error) {
	before := w.recorded()
	version, err := w.memory.Commit(context.Background(), tx)
	after := w.recorded()
	if len(before) > 0 && len(after) > 0 && before[3] == "false" && before[1] != after[1] {
		w.violate("recorded order %s was overwritten by %s before it took effect", before[1], after[1])
	}
	if len(after) > 0 && (len(before) == 0 || before[1] != after[1]) {
		epoch, _ := w.memory.Get(context.Background(), leaser.EpochKey("placement/d"))
		if !strings.Contains(string(epoch.Value), after[2]) {
			w.violate("order %s with %s was recorded after the takeover %s", after[1], after[2], epoch.Value)
		}
	}
	return version, err
}

var rowPattern = regexp.MustCompile(`"order-id":"([^"]+)",("fencing-token":\d+),.*"done":(true|false)`)

// recorded returns the row of the engine, its order and whether that is done.
func (w *simulation) recorded() []string {
	r, err := w.memory.Get(context.Background(), "order/e1")
	if err != nil {
		return nil
	}
	return rowPattern.FindStringSubmatch(string(r.Value))
}

// dial opens a connection to the engine as it runs now.
func (n *node) dial(context.Context, string, string) (net.Conn, error) {
	if f := n.takeFault(atDial); f.kind == pauseBefore {
		n.w.pause(f)
	}
	return &conn{n: n, engine: n.w.engine, opened: n.w.clock.Now()}, nil
}

// conn is a connection that the engine closes after its limit.
type conn struct {
	net.Conn
	n      *node
	engine *generator.Engine
	opened time.Time
	response bytes.Buffer
}

func (c *conn) Read(p []byte) (int, error)  { return c.response.Read(p) }
func (c *conn) Close() error                { return nil }
func (c *conn) SetDeadline(time.Time) error { return nil }

// Write is the sending of a whole request; the lease was checked before.
func (c *conn) Write(data []byte) (int, error) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return 0, err
	}
	var f fault
	if req.Method == http.MethodPost {
		f = c.n.takeFault(atOrder)
	}
	switch f.kind {
	case pauseBefore:
		c.n.w.pause(f)
	case takeEffectLate:
		c.n.w.clock.AfterFunc(f.span, func() { _ = c.deliver(req) })
		return len(data), nil
	}
	if err := c.deliver(req); err != nil {
		return 0, err
	}
	switch f.kind {
	case pauseAfter:
		c.n.w.pause(f)
	case loseResponse:
		c.response.Reset()
	}
	return len(data), nil
}

// deliver hands the request to the engine unless the connection is closed.
func (c *conn) deliver(req *http.Request) error {
	w := c.n.w
	known := w.deployment.OrderConnectionLimit > 0
	if c.engine != w.engine || known && w.clock.Now().Sub(c.opened) >= w.deployment.OrderConnectionLimit {
		return errors.New("the connection is closed")
	}
	r := httptest.NewRecorder()
	c.engine.Handler().ServeHTTP(r, req)
	return r.Result().Write(&c.response)
}
