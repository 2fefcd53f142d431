// Package assembler builds a node for the product's own interfaces.
//
// Package composer builds the node; this package provides its ports for the
// product's own platform protocol, the HTTP interfaces for OpenAI clients and
// operators, and the components that only these need: a fair request queue,
// claims of idempotency keys, and the placement of endpoints by recorded orders.
package assembler

import (
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/authority/leaser"
	"foxtailflow.example/foxtailflow/internal/base/limiter"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/engine/translator"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/front/receiver"
	"foxtailflow.example/foxtailflow/internal/node/composer"
	"foxtailflow.example/foxtailflow/internal/node/configurer"
	"foxtailflow.example/foxtailflow/internal/platform/connector"
	"foxtailflow.example/foxtailflow/internal/platform/encoder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// The time limits of a node on the product's own platform.
const (
	// leaseDuration is the duration of a duty's lease. A takeover has to wait for
	// its end; a holder renews it three times within it.
	leaseDuration = 6 * time.Second
	// entryRewriteTimeout is how long an endpoint's entry may be missing after an outage
	// of the platform.
	entryRewriteTimeout = 2 * time.Second
	// endpointNotice is within what time a leaving endpoint gets no new requests.
	endpointNotice = 5 * time.Second
	// maxReportDelay is how long after its end reports of a usage window are
	// attempted; its counts are kept in memory for twice as long.
	maxReportDelay = time.Hour
	// unackedTimeout is how long bytes on a connection between nodes may stay
	// unacknowledged.
	unackedTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection to an endpoint is kept.
	idleTimeout = 30 * time.Second
	// maxIdleConnections is the maximum number of idle connections to one endpoint.
	maxIdleConnections = 256
)

// vmKeyPrefix is the key prefix of the rows of the VMs that run endpoints.
const vmKeyPrefix = "vm/"

// New builds a node and opens its listeners.
func New(s configurer.Settings, clock timekeeper.Clock, log zerolog.Logger) (*composer.Node, error) {
	log = log.With().Str("node", s.ID).Logger()
	platform := connector.Client{BaseURL: s.PlatformAddress, Timeout: s.PlatformTimeout, Transport: newTransport(s.SourceAddress)}
	b := &builder{settings: s, clock: clock, log: log, platform: platform}
	return composer.New(composer.Settings{
		ID:                  s.ID,
		DataCentre:          s.DataCentre,
		CallersListen:       s.CallersListen,
		PeersListen:         s.PeersListen,
		PeersAdvertise:      s.PeersAdvertise,
		OperatorsListen:     s.OperatorsListen,
		SeedAddresses:       s.PeerAddresses,
		BalancerDelay:       s.BalancerDelay,
		EntryRewriteTimeout: entryRewriteTimeout,
		EndpointNotice:      endpointNotice,
		Workers:             s.Workers,
		MemoryBytes:         s.MemoryBytes,
		LeaseDuration:       leaseDuration,
		MaxReportDelay:      maxReportDelay,
		StaleAfter:          s.StaleAfter,
	}, b.ports(), clock, log)
}

// builder creates the ports and components of a node.
type builder struct {
	settings configurer.Settings
	clock    timekeeper.Clock
	log      zerolog.Logger
	platform connector.Client
}

func (b *builder) ports() composer.Ports {
	endpointTransport := &roundtripper.Transport{
		Clock:       b.clock,
		Dial:        roundtripper.Dialer{Timeout: b.settings.ConnectTimeout}.Dial,
		IdleTimeout: idleTimeout,
		MaxIdle:     maxIdleConnections,
	}
	return composer.Ports{
		Table:             b.platform,
		Feed:              b.platform,
		Config:            composer.Configuration{KeyPrefix: applier.KeyPrefix, Decode: applier.Configuration},
		EndpointKeyPrefix: vmKeyPrefix,
		DecodeEndpoint:    decodeVM,
		Dialect:           translator.Translator{},
		Engines:           controller.Client{Transport: newTransport("")},
		Callers: func(n *composer.Node) http.Handler {
			return receiver.Receiver{Clock: b.clock, Log: b.log, Configs: n, Handler: n, Memory: n.Memory(), Quotas: n.Quotas(), CheckReady: n.Ready}.Routes()
		},
		Components:        b.buildComponents,
		EndpointTransport: endpointTransport,
		Dial:              roundtripper.Dialer{PeerTimeout: unackedTimeout, Source: net.ParseIP(b.settings.SourceAddress)}.Dial,
		Receivers: func(guard leaser.CallGuard) composer.Receivers {
			return composer.Receivers{Reporter: usageReports{builder: b, check: guard.Check}}
		},
		RequestLog: b.log,
	}
}

// decodeVM decodes the VM in a row.
func decodeVM(row transactor.Row) (supplier.VM, error) {
	v, err := encoder.DecodeVM(row.Value)
	if v.Instance == "" {
		v.Instance = v.ID
	}
	return v, err
}

// newTransport returns an HTTP transport whose connections use source as their
// local IP; empty means any.
func newTransport(source string) *http.Transport {
	if source == "" {
		return &http.Transport{MaxResponseHeaderBytes: limiter.MaxHead}
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return &http.Transport{DialContext: d.DialContext, MaxResponseHeaderBytes: limiter.MaxHead}
}
