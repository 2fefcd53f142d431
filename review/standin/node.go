package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// node is one process of the system, started as the deploy file says.
type node struct {
	name, ip              string
	front, ready, control string
	settings              string
	cmd                   *exec.Cmd
	exited                chan struct{}
	// misses counts the readiness checks without 200 in a row; the balancer sends the
	// node no new connections from the second one on.
	misses atomic.Int32
}

// metricsPort is the port of the deploy file's metrics, the same on each machine.
const metricsPort = "9464"

// freeIP returns a loopback address on which the port of the metrics is free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort))
		if err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with a free port %s", metricsPort)
}

// freeAddress returns a free address of an IP.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func newNode(name string) (*node, error) {
	n := &node{name: name}
	var err error
	if n.ip, err = freeIP(); err != nil {
		return nil, err
	}
	for _, a := range []*string{&n.front, &n.ready, &n.control} {
		if *a, err = freeAddress(n.ip); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// start writes the settings and starts the program.
func (w *world) start(n *node) error {
	var seeds []string
	for _, other := range w.nodes {
		seeds = append(seeds, fmt.Sprintf("  - %q", other.control))
	}
	settings := fmt.Sprintf(settingsText, n.name, n.ip, n.front, n.ready, n.control, strings.Join(seeds, "\n"), w.storeAddress, w.storeAddress)
	n.settings = filepath.Join(w.dir, n.name+".yaml")
	if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(w.dir, n.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	n.cmd = exec.Command(filepath.Join(w.root, "target/foxtailflow"), "platform-node")
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = w.root, out, out
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "FOXTAILFLOW_CONFIG=" + n.settings}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	go func() {
		err := n.cmd.Wait()
		w.rec.add("node %s ended: %v", n.name, err)
		close(exited)
	}()
	w.rec.add("node %s started, process %d, front %s", n.name, n.cmd.Process.Pid, n.front)
	return nil
}

func (w *world) signal(n *node, s syscall.Signal) {
	w.rec.add("node %s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// watchReadiness checks each node once a second, as the balancer does.
func (w *world) watchReadiness(ctx context.Context, n *node) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + n.ready + "/-/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		switch {
		case ok:
			if n.misses.Swap(0) >= 2 {
				w.rec.add("balancer: node %s is in rotation", n.name)
			}
		case n.misses.Add(1) == 2:
			w.rec.add("balancer: node %s is out of rotation", n.name)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			resp, err := http.Get("http://" + n.ready + "/-/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready after %v", limit)
}

// world is a small deployment: the store, nodes and workers.
type world struct {
	root, dir    string
	rec          *record
	store        *store
	storeAddress string
	nodes        []*node
	servers      []*http.Server
	mu           sync.Mutex
}

// serve starts a server on a free loopback port and returns its address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// newWorld starts a store and prepares the nodes.
func newWorld(root, dir string, rec *record, nodes int) (*world, error) {
	w := &world{root: root, dir: dir, rec: rec, store: newStore()}
	var err error
	if w.storeAddress, err = w.serve(w.store); err != nil {
		return nil, err
	}
	for i := range nodes {
		n, err := newNode(fmt.Sprintf("front-a-%d", i+1))
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// run starts the nodes and waits until they are ready.
func (w *world) run(ctx context.Context) error {
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return err
		}
		go w.watchReadiness(ctx, n)
	}
	return w.awaitReady(15 * time.Second)
}

// end stops all processes and servers that were started.
func (w *world) end() {
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// settingsText are the settings of a small deployment, in the format of the platform.
const settingsText = `node: %q
role: "node"
machineClass: "front"
serves:
  - "front"
  - "control"
ip: %q
zone: "a"
region: "r"
zones:
  a: "r"
listen:
  front: %q
  ready: %q
  control: %q
seeds:
%s
bootstrap: true
inTolerance: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "virtual_ip"
heartbeatMs: 1200
tolerate:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  addrReuseS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configMs: 2000
  rollbackSlackMs: 250
  maxSkewMs: 5000
  revokeStrict: false
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  budgetSlack: 54
  requireFence: true
  leaseMs: 3000
  thawSlackMs: 300
  usageWindowS: 5
  usageTolerance: 0.05
  usageLateS: 10
  recoveryS: 12
  transitMs: 120
  reuseWindowS: 9.7
platform:
  address: %q
  form: "table"
  writesPerS: 400
  readsPerS: 2000
  txMs: 3.0
  appendsPerS: 300
  rowBytes: 65536
  across: true
  historyS: 20
  blobBytes: 8388608
  blobMs: 25.0
  transferPerS: 80.0
cloud:
  address: %q
  ratePerS: 50.0
  duties:
    - "usage_report"
    - "autoscale"
  dutyPerS: 50.0
`
