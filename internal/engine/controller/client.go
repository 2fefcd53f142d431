package controller

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/limiter"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// Client is a client of the endpoints' control interface.
type Client struct {
	// Transport carries the messages; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Timeout limits the time for one message; 0 means 2 s.
	Timeout time.Duration
}

const (
	defaultTimeout   = 2 * time.Second
	maxResponseBytes = 1 << 20
)

// pathOrders is the path of orders; only they have a fencing token.
const pathOrders = "/engine/orders"

// WithTransport returns a copy that sends through t.
func (c Client) WithTransport(t http.RoundTripper) Client {
	c.Transport = t
	return c
}

// Load returns the load report of the endpoint at address.
func (c Client) Load(ctx context.Context, address string) (Load, error) {
	data, err := c.send(ctx, http.MethodGet, address, "/engine/load", nil)
	if err != nil {
		return Load{}, err
	}
	return DecodeLoad(data)
}

// State returns the state of an engine.
func (c Client) State(ctx context.Context, address string) (State, error) {
	data, err := c.send(ctx, http.MethodGet, address, "/engine/state", nil)
	if err != nil {
		return State{}, err
	}
	return DecodeState(data)
}

// Order sends an order to an engine, once.
//
// StaleFencing: the engine has seen a newer fencing token. After any other error
// the order may or may not have taken effect; State shows which.
func (c Client) Order(ctx context.Context, address string, o Order) error {
	_, err := c.send(ctx, http.MethodPost, address, pathOrders, EncodeOrder(o))
	return err
}

// Release does nothing: these engines do not keep prompts for other engines.
func (c Client) Release(context.Context, carrier.PromptHandle) error { return nil }

// Cancel asks an engine to stop a request.
func (c Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.send(ctx, http.MethodPost, address, "/engine/cancel/"+requestID, nil)
	return err
}

func (c Client) send(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, coder.Wrap(coder.EndpointUnreachable, err, "malformed endpoint address %q", address)
	}
	req.GetBody = nil
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, coder.Wrap(coder.EndpointUnreachable, err, "endpoint %s did not respond", address)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := limiter.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, coder.Wrap(coder.EndpointFailed, err, "the response of endpoint %s was cut off", address)
	}
	switch {
	case resp.StatusCode == http.StatusConflict && path == pathOrders:
		return nil, coder.Refuse(coder.StaleFencing, "endpoint %s refused a stale fencing token", address)
	case resp.StatusCode < http.StatusOK, resp.StatusCode >= http.StatusMultipleChoices:
		return nil, coder.New(coder.EndpointFailed, "endpoint %s responded with status %d", address, resp.StatusCode)
	}
	return data, nil
}
