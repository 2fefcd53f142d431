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
	c := &Cluster{settings: p, clock: timekeeper.System{}}
	c.ctx, c.stop = context.WithCancel(ctx)
	c.Platform = &provider.Memory{Clock: c.clock}
	address, err := c.serve(&http.Server{Handler: provider.Server{Memory: c.Platform}.Handler(), ReadHeaderTimeout: connectionLimit})
	if err != nil {
		return nil, err
	}
	c.platformURL = "http://" + address
	steps := []func() error{c.startEndpoints, c.configure, c.startNodes, c.awaitReady}
	for _, step := range steps {
		if err := step(); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// connectionLimit is how long a server keeps a connection open on which no
// complete request header arrives. PlatformLimit of the nodes has the same
// value.
const connectionLimit = 5 * time.Second

// Stop stops the nodes gracefully and then the stand-ins.
func (c *Cluster) Stop() {
	c.stop()
	c.wg.Wait()
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.serving.Wait()
}

// CallersURL returns the base URL of a node for callers.
func (c *Cluster) CallersURL(node int) string {
	return "http://" + c.Nodes[node].CallersAddress()
}

func (c *Cluster) serve(s *http.Server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.servers = append(c.servers, s)
	c.settings.Log.Debug().Str("address", l.Addr().String()).Msg("stand-in started")
	c.serving.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

func (c *Cluster) startEndpoints() error {
	var vms []supplier.VM
	for i := range c.settings.Engines {
		e := generator.New(c.clock, c.settings.Engine)
		address, err := c.serve(e.Server())
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, e)
		vms = append(vms, c.vm(fmt.Sprintf("engine-%d", i+1), address, i, c.settings.ModelDeployment))
	}
	for i := range c.settings.Services {
		s := &servicer.Service{Clock: c.clock}
		address, err := c.serve(&http.Server{Handler: s.Handler(), ReadHeaderTimeout: connectionLimit})
		if err != nil {
			return err
		}
		c.Services = append(c.Services, s)
		vms = append(vms, c.vm(fmt.Sprintf("service-%d", i+1), address, i, c.settings.PlainDeployment))
	}
	c.Platform.SetVMs(vms)
	return nil
}

func (c *Cluster) vm(id, address string, i int, deployment string) supplier.VM {
	return supplier.VM{
		ID:         id,
		Address:    address,
		DataCentre: c.settings.DataCentres[i%len(c.settings.DataCentres)],
		Deployment: deployment,
		Tier:       definer.OnDemand,
		State:      supplier.Live,
	}
}

// configure writes the configuration files to the table before the first node
// starts.
func (c *Cluster) configure() error {
	a := applier.Applier{Clock: c.clock, Table: c.Platform}
	changes := make([]applier.Change, 0, len(c.settings.Files))
	for name, text := range c.settings.Files {
		changes = append(changes, applier.Change{File: name, Data: []byte(text)})
	}
	return a.Seed(c.ctx, changes)
}

func (c *Cluster) startNodes() error {
	for i := range c.settings.Nodes {
		n, err := c.startNode(i, "127.0.0.1:0")
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
	}
	return nil
}

func (c *Cluster) startNode(i int, callersListen string) (*composer.Node, error) {
	s := configurer.Settings{
		ID:                      fmt.Sprintf("node-%d", i+1),
		DataCentre:              c.settings.DataCentres[i%len(c.settings.DataCentres)],
		CallersListen:           callersListen,
		OperatorsListen:         "127.0.0.1:0",
		PeersListen:             "127.0.0.1:0",
		PlatformAddress:         c.platformURL,
		PlatformTimeout:         2 * time.Second,
		PlatformConnectionLimit: connectionLimit,
		OperatorHash:            authenticator.HashSecret(c.settings.OperatorSecret),
		Workers:                 256,
		ConnectTimeout:          500 * time.Millisecond,
		HeaderTimeout:           connectionLimit,
		LoadInterval:            100 * time.Millisecond,
		BalancerDelay:           10 * time.Millisecond,
		StaleAfter:              4 * time.Second,
	}
	n, err := assembler.New(s, c.clock, c.settings.Log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(c.ctx)
	ended := make(chan struct{})
	c.runningNodes.Put(i, runningNode{stop: stop, ended: ended})
	c.wg.Go(func() {
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
func (c *Cluster) StopNode(node int) {
	if r, ok := c.runningNodes.Get(node); ok {
		r.stop()
		<-r.ended
	}
}

// RestartNode stops a node gracefully and starts another one at the same address
// for callers; it returns once all nodes are ready.
func (c *Cluster) RestartNode(node int) error {
	address := c.Nodes[node].CallersAddress()
	c.StopNode(node)
	n, err := c.startNode(node, address)
	if err != nil {
		return err
	}
	c.Nodes[node] = n
	return c.awaitReady()
}

// PlatformURL returns the base URL of the platform.
func (c *Cluster) PlatformURL() string { return c.platformURL }

func (c *Cluster) awaitReady() error {
	const (
		tries = 200
		pause = 20 * time.Millisecond
	)
	for range tries {
		if c.allReady() {
			return nil
		}
		if err := c.clock.Sleep(c.ctx, pause); err != nil {
			return err
		}
	}
	return errors.New("the nodes did not become ready")
}

func (c *Cluster) allReady() bool {
	for _, n := range c.Nodes {
		if n.Ready() != nil {
			return false
		}
	}
	return true
}
