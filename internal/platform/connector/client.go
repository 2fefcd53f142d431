// Package connector is the HTTP client of the platform.
//
// It sends each call of the platform's interfaces as one HTTP request and never
// retries it: the caller decides whether a call may be repeated. A call that may have
// taken effect but got no response fails with PlatformUnsure; one that cannot have
// reached the platform fails with PlatformUnavailable.
package connector

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/limiter"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/platform/encoder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

// Client calls the platform at a base URL such as "http://127.0.0.1:7000".
type Client struct {
	// BaseURL is the base URL of the platform, without a trailing slash.
	BaseURL string
	// Transport sends the requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Timeout limits one call; 0 means 2 s.
	Timeout time.Duration
}

// WithTransport returns a copy that sends through t.
func (c Client) WithTransport(t http.RoundTripper) Client {
	c.Transport = t
	return c
}

const (
	defaultTimeout = 2 * time.Second
	// maxResponse is how much of one response is read at most, in bytes.
	maxResponse = 64 << 20
)

// Get returns a row.
func (c Client) Get(ctx context.Context, key string) (transactor.Row, error) {
	data, err := c.read(ctx, "/table/row", url.Values{"key": {key}})
	if err != nil {
		return transactor.Row{}, err
	}
	rows, err := encoder.DecodeRows(data)
	if err != nil {
		return transactor.Row{}, err
	}
	if len(rows) != 1 {
		return transactor.Row{}, coder.New(coder.PlatformUnavailable, "%d rows for one key", len(rows))
	}
	return rows[0], nil
}

// Scan returns rows in the order of their keys.
func (c Client) Scan(ctx context.Context, prefix, after string, limit int) ([]transactor.Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	data, err := c.read(ctx, "/table/rows", q)
	if err != nil {
		return nil, err
	}
	return encoder.DecodeRows(data)
}

// Commit runs a transaction.
func (c Client) Commit(ctx context.Context, tx transactor.Tx) (transactor.Version, error) {
	data, err := c.write(ctx, http.MethodPost, "/table/commit", encoder.EncodeTx(tx))
	if err != nil {
		return 0, err
	}
	version, err := encoder.DecodeVersion(data)
	if err != nil {
		return 0, coder.Wrap(coder.PlatformUnsure, err, "the response to a commit is malformed")
	}
	return transactor.NewVersion(0, version), nil
}

// Read returns all rows whose key has the prefix.
func (c Client) Read(ctx context.Context, prefix string) (transactor.Changes, error) {
	return c.changes(ctx, url.Values{"prefix": {prefix}})
}

// Watch returns the rows with the prefix that have changed after a version; it
// waits for changes for at most the given time.
func (c Client) Watch(ctx context.Context, prefix string, after transactor.Version, wait time.Duration) (transactor.Changes, error) {
	c.Timeout = c.timeout() + wait
	return c.changes(ctx, url.Values{
		"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()},
	})
}

func (c Client) changes(ctx context.Context, q url.Values) (transactor.Changes, error) {
	data, err := c.read(ctx, "/table/changes", q)
	if err != nil {
		return transactor.Changes{}, err
	}
	return encoder.DecodeChanges(data)
}

// Order places an order for endpoints.
func (c Client) Order(ctx context.Context, o supplier.EndpointOrder) error {
	_, err := c.write(ctx, http.MethodPost, "/endpoints/orders", encoder.EncodeOrder(o))
	return err
}

// Received reports whether the platform has received the order.
func (c Client) Received(ctx context.Context, id string) (bool, error) {
	return c.exists(ctx, "/endpoints/orders/"+url.PathEscape(id))
}

// Report sends the usage of a closed window.
func (c Client) Report(ctx context.Context, r biller.Report) error {
	_, err := c.write(ctx, http.MethodPost, "/usage/reports", biller.EncodeReport(r))
	return err
}

// Fetch returns the size of the named weights once the platform has read them.
func (c Client) Fetch(ctx context.Context, name string) (int64, error) {
	data, err := c.read(ctx, "/weights/"+url.PathEscape(name), nil)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return 0, coder.Wrap(coder.PlatformUnavailable, err, "malformed size of weights")
	}
	return n, nil
}

func (c Client) exists(ctx context.Context, path string) (bool, error) {
	_, err := c.read(ctx, path, nil)
	if coder.Is(err, coder.RowUnknown) {
		return false, nil
	}
	return err == nil, err
}

// read makes a call that has no effect.
func (c Client) read(ctx context.Context, path string, q url.Values) ([]byte, error) {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	data, err := c.call(ctx, http.MethodGet, path, nil)
	return data, readError(err)
}

// readError returns the error of a failed call that has no effect.
func readError(err error) error {
	if coder.Is(err, coder.PlatformUnsure) {
		return coder.Wrap(coder.PlatformUnavailable, err, "the platform is unavailable").WithOutcome(coder.NotRun)
	}
	return err
}

func (c Client) write(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return c.call(ctx, method, path, body)
}

func (c Client) timeout() time.Duration {
	if c.Timeout == 0 {
		return defaultTimeout
	}
	return c.Timeout
}

func (c Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, coder.Wrap(coder.PlatformRefused, err, "malformed platform address").WithOutcome(coder.NotRun)
	}
	// Without GetBody the transport does not resend a request on its own.
	req.GetBody = nil
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := limiter.ReadAll(resp.Body, maxResponse)
	if err != nil {
		return nil, coder.Wrap(coder.PlatformUnsure, err, "the response of the platform was cut off")
	}
	if resp.StatusCode < http.StatusOK {
		return nil, coder.New(coder.PlatformUnsure, "the platform sent the status %03d, which is no response", resp.StatusCode)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, encoder.DecodeFailure(data)
	}
	return data, nil
}

// sendError distinguishes a call that was never sent from one that may have been.
func sendError(err error) error {
	var e coder.Error
	if errors.As(err, &e) {
		return e
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return coder.Wrap(coder.PlatformUnavailable, err, "the platform is unreachable").WithOutcome(coder.NotRun)
	}
	return coder.Wrap(coder.PlatformUnsure, err, "no response from the platform")
}
