// Package translator is the forwarder's dialect for the engines and services of
// the system's own interface.
//
// Engines answer on the OpenAI paths; the headers and the control paths that go
// with them are those of the package speaker. Plain services are passed the
// caller's request as it came.
package translator

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/linker"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/engine/speaker"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// Translator is the dialect; it has no state.
type Translator struct{}

var _ forwarder.Dialect = Translator{}

const (
	requestID = "Foxtailflow-Request-Id"
	outcome   = "Foxtailflow-Outcome"
)

// hiddenHeaders are never passed to an endpoint: the credentials of the caller
// and what concerns the caller's connection only.
var hiddenHeaders = []string{
	"Authorization", "Cookie", "Proxy-Authorization", "Connection", "Keep-Alive", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Accept-Encoding",
	"Foxtailflow-Timeout",
}

// Encode returns the request as the endpoint is sent it.
func (Translator) Encode(a forwarder.Attempt, left time.Duration) (linker.Message, error) {
	r := a.Request
	if a.Resume {
		return linker.Message{
			Method: http.MethodPost,
			Target: speaker.ResumePath(r.ID, a.From),
			Header: http.Header{
				speaker.HeaderRequestID: {r.ID},
				speaker.HeaderDeadline:  {milliseconds(left)},
			},
		}, nil
	}
	m := linker.Message{
		Method: r.Method,
		Target: r.Target,
		Header: make(http.Header),
		Body:   r.Body.Bytes,
		Stream: r.Body.Stream,
		Length: r.Body.Length,
	}
	for name, values := range r.Header {
		if !slices.Contains(hiddenHeaders, name) && !strings.HasPrefix(name, "Engine-") {
			m.Header[name] = values
		}
	}
	m.Header.Set(requestID, r.ID)
	if r.Route.Kind == definer.Model {
		m.Header.Set(speaker.HeaderRequestID, r.ID)
		m.Header.Set(speaker.HeaderPriority, strconv.Itoa(r.Priority))
	}
	m.Header.Set(speaker.HeaderDeadline, milliseconds(left))
	if a.From > 0 {
		m.Header.Set(speaker.HeaderResumeFrom, strconv.Itoa(a.From))
	}
	return m, nil
}

func milliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// Belongs reports true: these engines answer once, so that nothing else comes
// after an answer to another request.
func (Translator) Belongs(carrier.Request, carrier.Head) bool { return true }

// crossed reports whether an answer names another request.
func crossed(r carrier.Request, h carrier.Head) bool {
	for _, name := range []string{speaker.HeaderRequestID, requestID} {
		if id := h.Header.Get(name); id != "" && id != r.ID {
			return true
		}
	}
	return false
}

// Check refuses, by its head, an answer that must not be passed on.
func (Translator) Check(a forwarder.Attempt, h carrier.Head) error {
	if crossed(a.Request, h) {
		return coder.New(coder.AnswerCrossed, "the answer of endpoint %s belongs to another request", a.Address)
	}
	if h.Status == http.StatusServiceUnavailable && h.Header.Get(outcome) == coder.NotRun.String() {
		return coder.Refuse(coder.EndpointRefused, "endpoint %s refused the request: not run", a.Address)
	}
	if h.Undelimited && !isStream(h) {
		return coder.New(coder.EndpointFailed, "the answer has neither a length nor a chunked ending")
	}
	if a.From == 0 && !a.Begun {
		return nil
	}
	// An engine that cannot go on where the caller is would begin again.
	from := h.Header.Get(speaker.HeaderResumeFrom)
	if h.Status != http.StatusOK || !isStream(h) || from != strconv.Itoa(a.From) {
		return coder.New(coder.EndpointFailed, "endpoint %s does not continue the stream after %d events", a.Address, a.From)
	}
	return nil
}

func isStream(h carrier.Head) bool {
	return strings.HasPrefix(h.Header.Get("Content-Type"), "text/event-stream")
}

// Mode says how an answer is passed on: that of an engine is read whole, so
// that one which is cut can be repeated.
func (Translator) Mode(a forwarder.Attempt, h carrier.Head) forwarder.Mode {
	switch {
	case a.Request.Route.Kind != definer.Model:
		return forwarder.Pieces
	case isStream(h):
		return forwarder.Events
	}
	return forwarder.Whole
}

// Answer checks the whole answer of an engine.
func (Translator) Answer(a forwarder.Attempt, h carrier.Head, body []byte) (carrier.Usage, error) {
	if h.Status >= http.StatusInternalServerError {
		return carrier.Usage{}, coder.New(coder.EndpointFailed, "the engine answered %d", h.Status)
	}
	if h.Status >= http.StatusMultipleChoices {
		return carrier.Usage{}, nil
	}
	answer, err := speaker.DecodeAnswer(body)
	if err != nil {
		return carrier.Usage{}, err
	}
	return usage(answer), checkID(a, answer.ID)
}

func checkID(a forwarder.Attempt, id string) error {
	if !strings.HasSuffix(id, a.Request.ID) {
		return coder.New(coder.AnswerCrossed, "a part of the answer belongs to %q", id)
	}
	return nil
}

func usage(a speaker.Answer) carrier.Usage {
	if !a.HasUsage {
		return carrier.Usage{}
	}
	return carrier.Usage{Reported: true, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens, CachedTokens: a.CachedTokens}
}

// Event decodes one event of an engine.
func (Translator) Event(a forwarder.Attempt, event []byte) (forwarder.Event, error) {
	data, ok := eventData(event)
	if !ok {
		return forwarder.Event{}, coder.New(coder.EndpointFailed, "an event without data")
	}
	if speaker.IsDone(data) {
		return forwarder.Event{Data: line(data), Last: true}, nil
	}
	answer, err := speaker.DecodeAnswer(data)
	if err != nil {
		return forwarder.Event{}, err
	}
	if answer.Failed {
		return forwarder.Event{}, coder.New(coder.EndpointFailed, "the engine ended its answer with an error")
	}
	if err := checkID(a, answer.ID); err != nil {
		return forwarder.Event{}, err
	}
	e := forwarder.Event{Usage: usage(answer)}
	if !answer.HasUsage || answer.Choices > 0 || !a.Request.HideUsage {
		e.Data = line(data)
	}
	return e, nil
}

// eventData returns the data of an event.
func eventData(event []byte) ([]byte, bool) {
	for l := range strings.Lines(string(event)) {
		if data, ok := speaker.EventData([]byte(l)); ok {
			return data, true
		}
	}
	return nil, false
}

// line returns an event as the caller is sent it.
func line(data []byte) []byte {
	b := make([]byte, 0, len(data)+len("data: \n\n"))
	return append(append(append(b, "data: "...), data...), "\n\n"...)
}

// MarksEnd reports that the end of a connection does not make a stream whole.
func (Translator) MarksEnd() bool { return true }

// Load returns nothing: engines tell their load on a path of its own.
func (Translator) Load(carrier.Head) (carrier.Load, bool) { return carrier.Load{}, false }

// Handle fails: these engines read prompts for themselves only.
func (Translator) Handle([]byte) (carrier.Handle, error) {
	return carrier.Handle{}, coder.New(coder.EndpointFailed, "the engine keeps no prompts for others")
}
