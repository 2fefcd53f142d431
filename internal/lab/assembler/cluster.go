// Package assembler runs stand-ins and nodes together in one process.
//
// The demonstration, the experiments and the tests of whole sessions use it.
// All parts listen on free loopback ports and use the real protocols, but share
// one process.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/base/keeper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/lab/servicer"
	"foxtailflow.example/foxtailflow/internal/node/assembler"
	"foxtailflow.example/foxtailflow/internal/node/composer"
	"foxtailflow.example/foxtailflow/internal/node/configurer"
)

// Settings lists the parts of a Cluster and their settings.
type Settings struct {
	Nodes    int
	Engines  int
	Services int
	Engine   generator.Settings
	// Files are the configuration files by name.
	Files map[string]string
	// DataCentres are assigned to nodes and endpoints in turn; none means "dc-1".
	DataCentres []string
	// ModelDeployment and PlainDeployment are the deployments of the engines and
	// services.
	ModelDeployment string
	PlainDeployment string
	// OperatorSecret is the credential of operators.
	OperatorSecret string
	Log            zerolog.Logger
}

// Cluster is a running system with its stand-ins.
type Cluster struct {
	Platform *provider.Memory
	Engines  []*generator.Engine
	Services []*servicer.Service
	Nodes    []*composer.Node

	settings    Settings
	clock       timekeeper.Clock
	platformURL string
	ctx         context.Context
	stop        context.CancelFunc
	// wg waits for the nodes.
	wg      conc.WaitGroup
	servers []*http.Server
	// serving waits for the stand-ins' servers.
	serving      conc.WaitGroup
	runningNodes keeper.Table[int, runningNode]
}

// New starts a cluster and returns once every node is ready.
func New(ctx context.Context, p Settings) (*Cluster, error) {
	if len(p.DataCentres) == 0 {
		p.DataCentres = []string{"dc-1"}
	}
	w := &Cluster{settings: p, clock: timekeeper.System{}}
	w.ctx, w.stop = context.WithCancel(ctx)
	w.Platform = &provider.Memory{Clock: w.clock}
	address, err := w.serve(&http.Server{Handler: provider.Server{Memory: w.Platform}.Handler(), ReadHeaderTimeout: connectionLimit})
	if err != nil {
		return nil, err
	}
	w.platformURL = "http://" + address
	steps := []func() error{w.startEndpoints, w.configure, w.startNodes, w.awaitReady}
	for _, step := range steps {
		if err := step(); err != nil {
			w.Stop()
			return nil, err
		}
	}
	return w, nil
}

// connectionLimit is how long a server keeps a connection open on which no
// complete request header arrives. PlatformLimit of the nodes has the same
// value.
const connectionLimit = 5 * time.Second

// Stop stops the nodes gracefully and then the stand-ins.
func (w *Cluster) Stop() {
	w.stop()
	w.wg.Wait()
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.serving.Wait()
}

// CallersURL returns the base URL of a node for callers.
func (w *Cluster) CallersURL(node int) string {
	return "http://" + w.Nodes[node].CallersAddress()
}

func (w *Cluster) serve(s *http.Server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.servers = append(w.servers, s)
	w.settings.Log.Debug().Str("address", l.Addr().String()).Msg("stand-in started")
	w.serving.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

func (w *Cluster) startEndpoints() error {
	var vms []supplier.VM
	for i := range w.settings.Engines {
		e := generator.New(w.clock, w.settings.Engine)
		address, err := w.serve(e.Server())
		if err != nil {
			return err
		}
		w.Engines = append(w.Engines, e)
		vms = append(vms, w.vm(fmt.Sprintf("engine-%d", i+1), address, i, w.settings.ModelDeployment))
	}
	for i := range w.settings.Services {
		s := &servicer.Service{Clock: w.clock}
		address, err := w.serve(&http.Server{Handler: s.Handler(), ReadHeaderTimeout: connectionLimit})
		if err != nil {
			return err
		}
		w.Services = append(w.Services, s)
		vms = append(vms, w.vm(fmt.Sprintf("service-%d", i+1), address, i, w.settings.PlainDeployment))
	}
	w.Platform.SetVMs(vms)
	return nil
}

func (w *Cluster) vm(id, address string, i int, deployment string) supplier.VM {
	return supplier.VM{
		ID:         id,
		Address:    address,
		DataCentre: w.settings.DataCentres[i%len(w.settings.DataCentres)],
		Deployment: deployment,
		Tier:       definer.OnDemand,
		State:      supplier.Live,
	}
}

// configure writes the configuration files to the table before the first node
// starts.
func (w *Cluster) configure() error {
	a := applier.Applier{Clock: w.clock, Table: w.Platform}
	changes := make([]applier.Change, 0, len(w.settings.Files))
	for name, text := range w.settings.Files {
		changes = append(changes, applier.Change{File: name, Data: []byte(text)})
	}
	return a.Seed(w.ctx, changes)
}

func (w *Cluster) startNodes() error {
	for i := range w.settings.Nodes {
		n, err := w.startNode(i, "127.0.0.1:0")
		if err != nil {
			return err
		}
		w.Nodes = append(w.Nodes, n)
	}
	return nil
}

func (w *Cluster) startNode(i int, callersListen string) (*composer.Node, error) {
	s := configurer.Settings{
		ID:                      fmt.Sprintf("node-%d", i+1),
		DataCentre:              w.settings.DataCentres[i%len(w.settings.DataCentres)],
		CallersListen:           callersListen,
		OperatorsListen:         "127.0.0.1:0",
		PeersListen:             "127.0.0.1:0",
		PlatformAddress:         w.platformURL,
		PlatformTimeout:         2 * time.Second,
		PlatformConnectionLimit: connectionLimit,
		OperatorHash:            authenticator.HashSecret(w.settings.OperatorSecret),
		Workers:                 256,
		ConnectTimeout:          500 * time.Millisecond,
		HeaderTimeout:           connectionLimit,
		LoadInterval:            100 * time.Millisecond,
		BalancerDelay:           10 * time.Millisecond,
		StaleAfter:              4 * time.Second,
	}
	n, err := assembler.New(s, w.clock, w.settings.Log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(w.ctx)
	ended := make(chan struct{})
	w.runningNodes.Put(i, runningNode{stop: stop, ended: ended})
	w.wg.Go(func() {
		defer close(ended)
		_ = n.Run(ctx)
	})
	return n, nil
}

// runningNode allows stopping a started node and waiting for its end.
type runningNode struct {
	stop  context.CancelFunc
	ended <-chan struct{}
}

// StopNode stops a node gracefully and returns once it has ended.
func (w *Cluster) StopNode(node int) {
	if r, ok := w.runningNodes.Get(node); ok {
		r.stop()
		<-r.ended
	}
}

// RestartNode stops a node gracefully and starts another one at the same address
// for callers; it returns once all nodes are ready.
func (w *Cluster) RestartNode(node int) error {
	address := w.Nodes[node].CallersAddress()
	w.StopNode(node)
	n, err := w.startNode(node, address)
	if err != nil {
		return err
	}
	w.Nodes[node] = n
	return w.awaitReady()
}

// PlatformURL returns the base URL of the platform.
func (w *Cluster) PlatformURL() string { return w.platformURL }

func (w *Cluster) awaitReady() error {
	const (
		tries = 200
		pause = 20 * time.Millisecond
	)
	for range tries {
		if w.allReady() {
			return nil
		}
		if err := w.clock.Sleep(w.ctx, pause); err != nil {
			return err
		}
	}
	return errors.New("the nodes did not become ready")
}

func (w *Cluster) allReady() bool {
	for _, n := range w.Nodes {
		if n.Ready() != nil {
			return false
		}
	}
	return true
}
