// Package translator implements the forwarder's Dialect for engines and services
// with the system's own interface.
//
// Engines serve requests on the OpenAI paths; the package controller has the headers
// and control paths that go with them. Plain services receive the caller's
// request unchanged but for its headers.
package translator

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/roundtripper"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// Translator implements forwarder.Dialect; it has no state.
type Translator struct{}

var _ forwarder.Dialect = Translator{}

const (
	headerRequestID = "Foxtailflow-Request-Id"
	headerOutcome   = "Foxtailflow-Outcome"
)

// strippedHeaders are never sent to an endpoint: the caller's credentials, and
// headers that concern the caller's connection only.
var strippedHeaders = []string{
	"Authorization", "Cookie", "Proxy-Authorization", "Connection", "Keep-Alive", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Accept-Encoding",
	"Foxtailflow-Timeout",
}

// Encode returns the request that is sent to the endpoint.
func (Translator) Encode(a forwarder.Attempt, remaining time.Duration) (roundtripper.Request, error) {
	r := a.Request
	if a.Resume {
		return roundtripper.Request{
			Method: http.MethodPost,
			Target: controller.ResumePath(r.ID, a.EventsDone),
			Header: http.Header{
				controller.HeaderRequestID: {r.ID},
				controller.HeaderDeadline:  {milliseconds(remaining)},
			},
		}, nil
	}
	req := roundtripper.Request{
		Method: r.Method,
		Target: r.Target,
		Header: make(http.Header),
		Body:   r.Body.Bytes,
		Stream: r.Body.Stream,
		Length: r.Body.Length,
	}
	for name, values := range r.Header {
		if !slices.Contains(strippedHeaders, name) && !strings.HasPrefix(name, "Engine-") {
			req.Header[name] = values
		}
	}
	req.Header.Set(headerRequestID, r.ID)
	if r.Route.Kind == definer.Model {
		req.Header.Set(controller.HeaderRequestID, r.ID)
		req.Header.Set(controller.HeaderPriority, strconv.Itoa(r.Priority))
	}
	req.Header.Set(controller.HeaderDeadline, milliseconds(remaining))
	if a.EventsDone > 0 {
		req.Header.Set(controller.HeaderResumeFrom, strconv.Itoa(a.EventsDone))
	}
	return req, nil
}

func milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// Matches reports whether a response can be that to a request: the first one on a
// connection, or one that names the request. Another may be a late copy of an earlier one.
func (Translator) Matches(r carrier.Request, h carrier.ResponseHead, first bool) bool {
	return first || namesRequest(r, h)
}

// KeepsConnection reports whether the response names the request. An endpoint that does
// not gets a new connection for each request.
func (Translator) KeepsConnection(r carrier.Request, h carrier.ResponseHead) bool {
	return namesRequest(r, h)
}

// identifiers are the headers in which a response names its request.
var identifiers = []string{controller.HeaderRequestID, headerRequestID}

// namesRequest reports whether a response has the identifier of a request.
func namesRequest(r carrier.Request, h carrier.ResponseHead) bool {
	return slices.ContainsFunc(identifiers, func(name string) bool { return h.Header.Get(name) == r.ID }) && !namesOtherRequest(r, h)
}

// namesOtherRequest reports whether a response has the identifier of another
// request.
func namesOtherRequest(r carrier.Request, h carrier.ResponseHead) bool {
	return slices.ContainsFunc(identifiers, func(name string) bool { id := h.Header.Get(name); return id != "" && id != r.ID })
}

// CheckHead checks the head of a response, and returns an error if the response
// must not be passed on.
func (Translator) CheckHead(a forwarder.Attempt, h carrier.ResponseHead) error {
	if namesOtherRequest(a.Request, h) {
		return coder.New(coder.AnswerCrossed, "the response of endpoint %s belongs to another request", a.Address)
	}
	if h.Status == http.StatusServiceUnavailable && h.Header.Get(headerOutcome) == coder.NotRun.String() {
		return coder.Refuse(coder.EndpointRefused, "endpoint %s refused the request: not run", a.Address)
	}
	if h.Undelimited && !isStream(h) {
		return coder.New(coder.EndpointFailed, "the response has neither a length nor chunked encoding")
	}
	if a.EventsDone == 0 && !a.ResponseBegun {
		return nil
	}
	// An engine that cannot continue after these events would start the stream
	// again from its beginning.
	from := h.Header.Get(controller.HeaderResumeFrom)
	if h.Status != http.StatusOK || !isStream(h) || from != strconv.Itoa(a.EventsDone) {
		return coder.New(coder.EndpointFailed, "endpoint %s does not continue the stream after %d events", a.Address, a.EventsDone)
	}
	return nil
}

func isStream(h carrier.ResponseHead) bool {
	return strings.HasPrefix(h.Header.Get("Content-Type"), "text/event-stream")
}

// Mode says how a response is passed on. The response of an engine, unless it is
// a stream, is read completely first, so that a request whose response is cut off
// can be repeated.
func (Translator) Mode(a forwarder.Attempt, h carrier.ResponseHead) forwarder.Mode {
	switch {
	case a.Request.Route.Kind != definer.Model:
		return forwarder.Streamed
	case isStream(h):
		return forwarder.Events
	}
	return forwarder.Buffered
}

// CheckResponse checks the complete response of an engine.
func (Translator) CheckResponse(a forwarder.Attempt, h carrier.ResponseHead, body []byte) (carrier.Usage, error) {
	if h.Status >= http.StatusInternalServerError {
		return carrier.Usage{}, coder.New(coder.EndpointFailed, "the engine responded with status %d", h.Status)
	}
	if h.Status >= http.StatusMultipleChoices {
		return carrier.Usage{}, nil
	}
	response, err := controller.DecodeResponse(body)
	if err != nil {
		return carrier.Usage{}, err
	}
	return usageOf(response), checkID(a, response.ID)
}

// maxLoggedID bounds an identifier of an endpoint in an error, in bytes.
const maxLoggedID = 64

func checkID(a forwarder.Attempt, id string) error {
	if !strings.HasSuffix(id, a.Request.ID) {
		return coder.New(coder.AnswerCrossed, "a part of the response belongs to %.*q", maxLoggedID, id)
	}
	return nil
}

func usageOf(resp controller.Response) carrier.Usage {
	if !resp.HasUsage {
		return carrier.Usage{}
	}
	return carrier.Usage{Reported: true, PromptTokens: resp.PromptTokens, OutputTokens: resp.OutputTokens, CachedTokens: resp.CachedTokens}
}

// Event decodes one event of an engine's stream.
func (Translator) Event(a forwarder.Attempt, event []byte) (forwarder.Event, error) {
	if forwarder.IsComment(event) {
		return forwarder.Event{Comment: true}, nil
	}
	data, err := eventData(event)
	if err != nil {
		return forwarder.Event{}, err
	}
	if controller.IsDone(data) {
		return forwarder.Event{Data: encodeEvent(data), Last: true}, nil
	}
	response, err := controller.DecodeResponse(data)
	if err != nil {
		return forwarder.Event{}, err
	}
	if response.Failed {
		return forwarder.Event{}, coder.New(coder.EndpointFailed, "the engine ended its response with an error")
	}
	if err := checkID(a, response.ID); err != nil {
		return forwarder.Event{}, err
	}
	e := forwarder.Event{Usage: usageOf(response)}
	if !response.HasUsage || response.Choices > 0 || !a.Request.HideUsage {
		e.Data = encodeEvent(data)
	}
	return e, nil
}

// eventFields are the fields of an event stream; only data has a meaning here.
var eventFields = []string{"", "data", "event", "id", "retry"}

// eventData returns the data of an event, which engines send in one line.
func eventData(event []byte) ([]byte, error) {
	var data []byte
	for line := range bytes.Lines(event) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		d, isData := controller.EventData(line)
		switch {
		case !slices.Contains(eventFields, string(name)), bytes.ContainsRune(line, '\r'):
			// A carriage return alone also ends a line of an event stream.
			return nil, coder.New(coder.EndpointFailed, "a line of the event is not a field")
		case isData && data != nil:
			return nil, coder.New(coder.EndpointFailed, "the event has two lines of data")
		case isData:
			data = d
		}
	}
	if data == nil {
		return nil, coder.New(coder.EndpointFailed, "the engine sent an event without data")
	}
	return data, nil
}

// encodeEvent returns an event in the form that is sent to the caller.
func encodeEvent(data []byte) []byte {
	b := make([]byte, 0, len(data)+len("data: \n\n"))
	return append(append(append(b, "data: "...), data...), "\n\n"...)
}

// MarksEnd returns true: a stream is complete only after its last event, not at
// the end of the connection.
func (Translator) MarksEnd() bool { return true }

// Load returns nothing: engines report their load on a separate path.
func (Translator) Load(carrier.ResponseHead) (carrier.Load, bool) { return carrier.Load{}, false }

// Handle fails: these engines do not prefill for other engines.
func (Translator) Handle([]byte) (carrier.PromptHandle, error) {
	return carrier.PromptHandle{}, coder.New(coder.EndpointFailed, "the engine keeps no prompts for other engines")
}
