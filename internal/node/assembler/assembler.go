// Package assembler builds a node for the product's own interfaces.
//
// The composer makes the node; this package gives it the ports of the product's
// own platform protocol, the fronts for OpenAI clients and operators, and the
// parts that only these need: requests that wait in fair order, claims of
// idempotency keys, and the placement of endpoints by recorded orders.
package assembler

import (
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/linker"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/engine/translator"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/front/receiver"
	"foxtailflow.example/foxtailflow/internal/node/composer"
	"foxtailflow.example/foxtailflow/internal/node/configurer"
	"foxtailflow.example/foxtailflow/internal/platform/connector"
	"foxtailflow.example/foxtailflow/internal/platform/encoder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// The times of a node on the product's own platform.
const (
	// lease is the life of a duty's lease: takeovers wait for it, and a holder
	// renews it three times in it.
	lease = 6 * time.Second
	// lapse is how long an endpoint's entry may be missing after an outage of the
	// platform.
	lapse = 2 * time.Second
	// usageLate is how long a window is tried to be reported after its end; its
	// counts are kept in memory for twice as long.
	usageLate = time.Hour
	// silence is how long a connection between nodes may leave bytes without
	// acknowledgement.
	silence = 2 * time.Second
	// keptFor is how long a connection to an endpoint is kept idle.
	keptFor = 30 * time.Second
	// keptConnections bounds the idle connections to one endpoint.
	keptConnections = 256
)

// vmPrefix begins the rows of the VMs that carry endpoints.
const vmPrefix = "vm/"

// New builds a node and opens its listeners.
func New(s configurer.Settings, clock timekeeper.Clock, log zerolog.Logger) (*composer.Node, error) {
	log = log.With().Str("node", s.ID).Logger()
	platform := connector.Client{Base: s.Platform, Timeout: s.PlatformTimeout, Transport: transportFrom(s.SourceAddress)}
	b := &builder{settings: s, clock: clock, log: log, platform: platform}
	return composer.New(composer.Settings{
		ID:              s.ID,
		DataCentre:      s.DataCentre,
		CallersListen:   s.CallersListen,
		PeersListen:     s.PeersListen,
		PeersAdvertise:  s.PeersAdvertise,
		OperatorsListen: s.OperatorsListen,
		Seeds:           s.Peers,
		LeaveWait:       s.LeaveWait,
		Lapse:           lapse,
		Workers:         s.Workers,
		Lease:           lease,
		UsageLate:       usageLate,
		StaleAfter:      s.StaleAfter,
	}, b.ports(), clock, log)
}

// builder makes the ports and parts of a node.
type builder struct {
	settings configurer.Settings
	clock    timekeeper.Clock
	log      zerolog.Logger
	platform connector.Client
}

func (b *builder) ports() composer.Ports {
	links := &linker.Linker{
		Clock:    b.clock,
		Dial:     linker.Dialer{Timeout: b.settings.ConnectWait}.Dial,
		KeepFor:  keptFor,
		KeepMost: keptConnections,
	}
	return composer.Ports{
		Table:          b.platform,
		Feed:           b.platform,
		Config:         composer.Configuration{Prefix: applier.Prefix, Decode: applier.Configuration},
		EndpointPrefix: vmPrefix,
		DecodeEndpoint: decodeVM,
		Dialect:        translator.Translator{},
		Engines:        speaker.Client{Transport: &http.Transport{}},
		Callers: func(n *composer.Node) http.Handler {
			return receiver.Receiver{Clock: b.clock, Log: b.log, Views: n, Handler: n, Ready: n.Ready}.Routes()
		},
		Extend: b.extend,
		Links:  links,
		Dial:   linker.Dialer{Silence: silence, Source: net.ParseIP(b.settings.SourceAddress)}.Dial,
		Receivers: func(check func(leaser.Grant) error) composer.Receivers {
			return composer.Receivers{Reports: reports{builder: b, check: check}}
		},
		Requests: b.log,
	}
}

// decodeVM returns the VM of a row.
func decodeVM(row transactor.Row) (supplier.VM, error) {
	v, err := encoder.DecodeVM(row.Value)
	if v.Instance == "" {
		v.Instance = v.ID
	}
	return v, err
}

// transportFrom returns an HTTP transport whose connections have a local IP;
// empty means any.
func transportFrom(source string) *http.Transport {
	if source == "" {
		return &http.Transport{}
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return &http.Transport{DialContext: d.DialContext}
}
