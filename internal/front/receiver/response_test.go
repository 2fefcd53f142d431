package receiver

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

// TestSlowCaller guards against a caller that does not read its response and so
// occupies an engine's memory: the response ends after the write timeout.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp := newResponse(timekeeper.System{}, w, carrier.Request{Stream: true}, 100*time.Millisecond)
		err := resp.Begin(r.Context(), carrier.ResponseHead{Status: http.StatusOK})
		// This is more than the buffers of a connection hold.
		for range 256 {
			if err == nil {
				err = resp.Write(context.Background(), make([]byte, 1<<20))
			}
		}
		ended <- err
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: node\r\n\r\n"))
	is.NoErr(err)
	select {
	case err := <-ended:
		is.True(coder.Is(err, coder.CallerGone)) // the write to the slow caller did not time out
	case <-time.After(10 * time.Second):
		t.Fatal("the response to a caller that does not read never ends")
	}
}
