package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/lab/assembler"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
)

const configuration = `
[client-account "baden"]
[deployment "wichse-llm"]
kind = model
model = wichse-llm
[route "recipes"]
kind = model
model = wichse-llm
deployment = wichse-llm
`

const streamRequest = `{"model":"wichse-llm","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"damp weather"}]}`

// TestKeyWithdrawalDuringStream guards against a response that is cut off because
// its key is withdrawn, and against a withdrawn key that is still accepted on a
// connection that was opened before.
func TestKeyWithdrawalDuringStream(t *testing.T) {
	is := is.New(t)
	key := fmt.Sprintf("[key \"key-1\"]\nclient-account = baden\nhash = %s\n", authenticator.EncodedHash("caller"))
	w, err := assembler.New(t.Context(), assembler.Settings{
		Nodes:           3,
		Engines:         1,
		Engine:          generator.Settings{Model: "wichse-llm", PrefillRate: 20_000, DecodeRate: 50, Slots: 16, Blocks: 1000},
		Files:           map[string]string{"main.ini": configuration, "key-1.ini": key},
		ModelDeployment: "wichse-llm",
		OperatorSecret:  "operator",
		Log:             zerolog.Nop(),
	})
	is.NoErr(err)
	defer w.Stop()

	running := send(t, t.Context(), "POST", w.CallersURL(0)+"/v1/chat/completions", streamRequest, "caller")
	defer func() { _ = running.Body.Close() }()
	is.Equal(running.StatusCode, http.StatusOK)
	lines := bufio.NewReader(running.Body)
	firstLine, err := lines.ReadString('\n')
	is.NoErr(err) // the stream has started

	url := w.CallersURL(0) + "/v1/models"
	status, _ := call(t, t.Context(), "GET", url, "caller")
	is.Equal(status, http.StatusOK)
	operators := "http://" + w.Nodes[1].OperatorsAddress()
	status, _ = call(t, t.Context(), "DELETE", operators+"/keys/key-1", "operator")
	is.Equal(status, http.StatusOK)

	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	status, outcome := call(t, httptrace.WithClientTrace(t.Context(), trace), "GET", url, "caller")
	is.True(reused) // the connection was opened before the withdrawal
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(outcome, "not-run")

	rest, err := io.ReadAll(lines)
	is.NoErr(err) // the running response is not cut off
	is.True(strings.Contains(string(rest), "data: [DONE]"))
	is.Equal(strings.Count(firstLine+string(rest), `"content"`), 2*200)
}

//nolint:revive // The *testing.T parameter comes before the context.
func send(t *testing.T, ctx context.Context, method, url, body, secret string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// call sends a request and reads the response to its end, so that the connection
// can be reused.
//
//nolint:revive // The *testing.T parameter comes before the context.
func call(t *testing.T, ctx context.Context, method, url, secret string) (status int, outcome string) {
	t.Helper()
	resp := send(t, ctx, method, url, "", secret)
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Foxtailflow-Outcome")
}
