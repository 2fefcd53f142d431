package servicer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/servicer"
)

// TestEchoStreams guards against a stand-in that responds only once it has the
// complete body: tests of streams in both directions would then hang.
func TestEchoStreams(t *testing.T) {
	is := is.New(t)
	s := &servicer.Service{Clock: timekeeper.System{}}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	body, writer := io.Pipe()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/echo", body)
	is.NoErr(err)
	resp, err := server.Client().Do(req)
	is.NoErr(err)
	defer func() { is.NoErr(resp.Body.Close()) }()
	for _, chunk := range []string{"first", "second"} {
		_, err := io.WriteString(writer, chunk)
		is.NoErr(err)
		got := make([]byte, len(chunk))
		_, err = io.ReadFull(resp.Body, got)
		is.NoErr(err)
		is.Equal(string(got), chunk)
	}
	is.NoErr(writer.Close())
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(rest), 0)
}
