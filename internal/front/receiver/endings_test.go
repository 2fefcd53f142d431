package receiver

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

const (
	streamEvent = `data: {"id":"c-1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"x"}}]}` + "\n\n"
	plainBody   = `{"id":"c-1","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"x"}}]}`
)

// writeTimeout bounds one write to the caller.
const writeTimeout = 200 * time.Millisecond

// TestEndings guards against a response that broke off and that the caller's client
// library, unmodified, reports as complete.
func TestEndings(t *testing.T) {
	datadriven.RunTest(t, "testdata/endings", func(t *testing.T, d *datadriven.TestData) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { respond(w, r, d) }))
		defer server.Close()
		if d.HasArg("raw") {
			resp, err := http.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			data, err := io.ReadAll(resp.Body)
			return fmt.Sprintf("error event %t, cut off %t\n", bytes.Contains(data, []byte(`data: {"error"`)), err != nil)
		}
		client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey("s"), option.WithMaxRetries(0))
		params := openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("q")}}
		if d.Cmd == "plain" {
			answer, err := client.Chat.Completions.New(t.Context(), params)
			if err != nil {
				return "error\n"
			}
			return fmt.Sprintf("complete, %d choices\n", len(answer.Choices))
		}
		pieces := 0
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		for stream.Next() {
			pieces++
		}
		if stream.Err() != nil {
			return fmt.Sprintf("error after %d pieces\n", pieces)
		}
		return fmt.Sprintf("complete, %d pieces\n", pieces)
	})
}

// respond writes a response that ends as a script says.
func respond(w http.ResponseWriter, r *http.Request, d *datadriven.TestData) {
	stream := d.Cmd == "stream"
	resp := newResponse(timekeeper.System{}, w, carrier.Request{ID: "r1", Stream: stream}, writeTimeout)
	head := carrier.ResponseHead{Status: http.StatusOK, Header: carrier.Header{"Content-Type": {"application/json"}}}
	if stream {
		head.Header["Content-Type"] = []string{"text/event-stream"}
	}
	if d.HasArg("length") {
		head.Header["Content-Length"] = []string{strconv.Itoa(len(plainBody))}
	}
	var pieces []string
	switch {
	case stream && d.HasArg("complete"):
		pieces = []string{streamEvent, streamEvent, "data: [DONE]\n\n"}
	case stream && d.HasArg("inside"):
		pieces = []string{streamEvent, streamEvent[:40]}
	case stream && d.HasArg("cut"):
		pieces = []string{streamEvent, streamEvent}
	case d.HasArg("complete"):
		pieces = []string{plainBody}
	case d.HasArg("cut"):
		pieces = []string{plainBody[:len(plainBody)/2]}
	}
	if len(pieces) > 0 {
		_ = resp.Begin(r.Context(), head)
	}
	for _, piece := range pieces {
		_ = resp.Write(r.Context(), []byte(piece))
	}
	if d.HasArg("pause") {
		time.Sleep(2 * writeTimeout)
	}
	var err error
	if !d.HasArg("complete") {
		err = coder.New(coder.AnswerCut, "the response was cut off")
	}
	resp.finish(r, carrier.Result{Err: err})
}
