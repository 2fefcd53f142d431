package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment on loopback addresses.
type world struct {
	rec     *record
	dir     string
	binary  string
	root    string
	trouble bool
	store   *store
	address struct{ store, cloud string }
	nodes   []*node

	mu      sync.Mutex
	reports map[int64]string
}

// node is one process of the system.
type node struct {
	w                   *world
	name, ip            string
	front, ready, peers string
	settings            string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func newWorld(rec *record, root string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, root: root, binary: filepath.Join(root, "target", "foxtailflow"), trouble: trouble, store: newStore(), reports: make(map[int64]string)}
	if _, err := os.Stat(w.binary); err != nil {
		return nil, err
	}
	if w.address.store, err = serve("127.0.0.1", w.store); err != nil {
		return nil, err
	}
	w.address.cloud, err = serve("127.0.0.1", http.HandlerFunc(w.serveCloud))
	return w, err
}

// serve starts an HTTP server on a free port of an address.
func serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// serveCloud takes the calls of the singleton duties.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.rec.line("cloud: %s %s by %s with token %s", r.URL.Path, body, r.Header.Get("X-Foxtailflow-Duty-Holder"), r.Header.Get("X-Foxtailflow-Fencing-Token"))
	if r.URL.Path == "/usage" {
		var report struct {
			WindowID int64           `json:"windowId"`
			Counts   json.RawMessage `json:"counts"`
		}
		_ = json.Unmarshal(body, &report)
		w.mu.Lock()
		w.reports[report.WindowID] = string(report.Counts)
		w.mu.Unlock()
	}
	rw.WriteHeader(http.StatusOK)
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// addNode prepares a node with settings like those that DEPLOY.md shows.
func (w *world) addNode(name string) error {
	n := &node{w: w, name: name, ip: fmt.Sprintf("127.0.0.%d", 11+len(w.nodes)), settings: filepath.Join(w.dir, name+".yaml")}
	for _, a := range []*string{&n.front, &n.ready, &n.peers} {
		port, err := freePort(n.ip)
		if err != nil {
			return err
		}
		*a = net.JoinHostPort(n.ip, strconv.Itoa(port))
	}
	w.nodes = append(w.nodes, n)
	return os.WriteFile(n.settings, []byte(n.text()), 0o600)
}

// text returns the settings file.
func (n *node) text() string {
	seeds := ""
	for _, x := range n.w.nodes {
		seeds += "  - \"" + x.peers + "\"\n"
	}
	return fmt.Sprintf(`node: %q
role: "node"
machineClass: "front"
serves:
  - "front"
  - "control"
ip: %q
zone: %q
region: "r"
zones:
  %s: "r"
listen:
  front: %q
  ready: %q
  control: %q
portRange:
  - 7660
  - 7675
seeds:
%sbootstrap: true
inTolerance: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: %d
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
`, n.name, n.ip, zone, zone, n.front, n.ready, n.peers, seeds, memoryMB, n.w.address.store, n.w.address.cloud)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	// The shell only bounds the descriptors, as the settings say.
	cmd := exec.Command("sh", "-c", "ulimit -n 4100 && exec target/foxtailflow platform-node")
	cmd.Dir = n.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILFLOW_CONFIG=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.w.rec.line("node %s: started, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.w.rec.line("node %s: process %d ended: %v", n.name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.w.rec.line("node %s: signal %v", n.name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

// running reports whether the process runs.
func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// stop ends the process.
func (n *node) stop() {
	if !n.running() {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// residentMB returns the resident memory of the process in MB, as the kernel counts it.
func (n *node) residentMB() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, n := range w.nodes {
		n.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}
