// Package requester is the client of the operators' HTTP interface.
//
// Any node can handle any call. A call is sent once: after a lost response, only
// the operator can decide whether to retry a change. The version at which the
// file was last seen keeps a retry from overwriting the changes of others. An
// error response is returned as the coder.Error that the node sent.
package requester

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/limiter"
)

// Client calls the operators' interface of one node.
type Client struct {
	// Address is the address of the node: IP:port, or the base URL http://IP:port.
	Address string
	// Credential is the operators' credential.
	Credential string
	// Transport sends the calls; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Timeout limits one call; 0 means 20 s, which is longer than a change takes to
	// come into force on all nodes.
	Timeout time.Duration
}

const (
	defaultTimeout = 20 * time.Second
	// maxResponseBytes limits how much of a response is read.
	maxResponseBytes = 64 << 20
)

// Files returns the names of the configuration files.
func (c Client) Files(ctx context.Context) (Files, error) {
	data, err := c.call(ctx, http.MethodGet, "/files", nil, nil)
	if err != nil {
		return Files{}, err
	}
	return decodeFiles(data)
}

// File returns the content of a configuration file.
func (c Client) File(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/files/"+url.PathEscape(name), nil, nil)
}

// Put sets a configuration file. The version seen is the one at which the file
// was last seen, 0 for a new file.
//
// It fails with ConfigConflict if the file has changed since, and with
// ConfigOutcomeUnsure if the change may have been accepted.
func (c Client) Put(ctx context.Context, name string, data []byte, seen uint64) (Change, error) {
	return c.change(ctx, http.MethodPut, "/files/"+url.PathEscape(name), seenQuery(seen), data)
}

// Remove removes a configuration file that was last seen at the version seen.
func (c Client) Remove(ctx context.Context, name string, seen uint64) (Change, error) {
	return c.change(ctx, http.MethodDelete, "/files/"+url.PathEscape(name), seenQuery(seen), nil)
}

// CreateKey creates a key for a client account. Its secret is only in this
// response.
func (c Client) CreateKey(ctx context.Context, account string) (Key, error) {
	data, err := c.call(ctx, http.MethodPost, "/keys", nil, encodeAccount(account))
	if err != nil {
		return Key{}, changeError(err)
	}
	k, err := decodeKey(data)
	return k, changeError(err)
}

// WithdrawKey withdraws a key by its identifier.
func (c Client) WithdrawKey(ctx context.Context, id string) (Change, error) {
	return c.change(ctx, http.MethodDelete, "/keys/"+url.PathEscape(id), nil, nil)
}

// Status returns the status of the called node and of the other nodes it knows.
func (c Client) Status(ctx context.Context) (Status, error) {
	data, err := c.call(ctx, http.MethodGet, "/status", nil, nil)
	if err != nil {
		return Status{}, err
	}
	return decodeStatus(data)
}

// Quarantine lists the prompt patterns that are refused because they crash endpoints.
func (c Client) Quarantine(ctx context.Context) ([]Pattern, error) {
	data, err := c.call(ctx, http.MethodGet, "/quarantine", nil, nil)
	if err != nil {
		return nil, err
	}
	return decodePatterns(data)
}

// Release takes a prompt pattern out of force by its identifier.
func (c Client) Release(ctx context.Context, id string) error {
	_, err := c.call(ctx, http.MethodDelete, "/quarantine/"+url.PathEscape(id), nil, nil)
	return changeError(err)
}

func (c Client) change(ctx context.Context, method, path string, q url.Values, body []byte) (Change, error) {
	data, err := c.call(ctx, method, path, q, body)
	if err != nil {
		return Change{}, changeError(err)
	}
	change, err := decodeChange(data)
	return change, changeError(err)
}

// changeError returns the error of a change, which may have been accepted if the response
// is not that of a node.
func changeError(err error) error {
	if coder.Is(err, coder.NodeNotReached) && coder.FromError(err).Outcome() != coder.NotRun {
		return coder.Wrap(coder.ConfigOutcomeUnsure, err, "the change may have been accepted")
	}
	return err
}

func seenQuery(version uint64) url.Values {
	return url.Values{"seen": {strconv.FormatUint(version, 10)}}
}

// Merged returns the values in force, each with the file that it came from.
func (c Client) Merged(ctx context.Context) (Merged, error) {
	data, err := c.call(ctx, http.MethodGet, "/merged", nil, nil)
	if err != nil {
		return Merged{}, err
	}
	m, err := DecodeMerged(data)
	return m, decodingError(err)
}

func (c Client) call(ctx context.Context, method, path string, q url.Values, body []byte) ([]byte, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.baseURL() + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, coder.Refuse(coder.NodeNotReached, "%q is not a valid node address", c.Address).WithCause(err)
	}
	// Without GetBody the transport does not retry the call.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, c.noResponseError(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		// A file that is cut off would look complete, and be put back so.
		return nil, c.noResponseError(method, errors.New("the response ends with its connection"))
	}
	data, err := limiter.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, c.noResponseError(method, err)
	}
	if resp.StatusCode < http.StatusOK {
		return nil, c.noResponseError(method, fmt.Errorf("the status %03d is not valid", resp.StatusCode))
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, decodeRefusal(resp.StatusCode, data)
	}
	return data, nil
}

func (c Client) baseURL() string {
	if strings.Contains(c.Address, "://") {
		return strings.TrimSuffix(c.Address, "/")
	}
	return "http://" + c.Address
}

// noResponseError returns the error of a call whose response was not received.
func (c Client) noResponseError(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return coder.Refuse(coder.NodeNotReached, "node %s does not answer", c.Address).WithCause(err)
	}
	return coder.Wrap(coder.ConfigOutcomeUnsure, err, "no response from node %s; the change may have been accepted", c.Address)
}
