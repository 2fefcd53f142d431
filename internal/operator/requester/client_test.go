package requester_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
)

// TestResponses guards against a change that is reported as not made although its response
// was lost or malformed, and against content that was cut off and is taken for complete.
// Each command is a call with the bytes of the response; with cut, the response breaks off
// after each of them.
func TestResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/responses", func(t *testing.T, d *datadriven.TestData) string {
		response, err := strconv.Unquote(`"` + strings.ReplaceAll(strings.ReplaceAll(d.Input, "\n", ""), `"`, `\"`) + `"`)
		if err != nil {
			t.Fatal(err)
		}
		if !d.HasArg("cut") {
			return call(t, d.Cmd, response) + "\n"
		}
		var out strings.Builder
		last, begin := call(t, d.Cmd, ""), 0
		for n := 1; n <= len(response)+1; n++ {
			result := ""
			if n <= len(response) {
				result = call(t, d.Cmd, response[:n])
			}
			if result != last {
				_, _ = fmt.Fprintf(&out, "%d-%d %s\n", begin, n-1, last)
				last, begin = result, n
			}
		}
		return out.String()
	})
}

// call makes a call to a node that sends a response and closes the connection.
func call(t *testing.T, name, response string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, response)
	}()
	client := requester.Client{Address: l.Addr().String(), Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	result, err := calls[name](t.Context(), client)
	if err != nil {
		return fmt.Sprintf("%d %s", coder.FromError(err).Code(), coder.FromError(err).Outcome())
	}
	if text, ok := result.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprintf("%+v", result)
}

var calls = map[string]func(ctx context.Context, c requester.Client) (any, error){
	"files": func(ctx context.Context, c requester.Client) (any, error) { return c.Files(ctx) },
	"file": func(ctx context.Context, c requester.Client) (any, error) {
		data, err := c.File(ctx, "a")
		return string(data), err
	},
	"put":     func(ctx context.Context, c requester.Client) (any, error) { return c.Put(ctx, "a", []byte("x"), 1) },
	"key":     func(ctx context.Context, c requester.Client) (any, error) { return c.CreateKey(ctx, "baden") },
	"release": func(ctx context.Context, c requester.Client) (any, error) { return "released", c.Release(ctx, "p1") },
}
