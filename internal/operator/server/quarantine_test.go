package server_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/lab/assembler"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
	"foxtailflow.example/foxtailflow/internal/request/quarantiner"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// TestQuarantine guards against a pattern that operators cannot see, or cannot take out
// of force on all nodes.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	w, err := assembler.New(t.Context(), assembler.Settings{
		Nodes: 2, Files: map[string]string{"main.ini": configuration}, OperatorSecret: "operator", Log: zerolog.Nop(),
	})
	is.NoErr(err)
	defer w.Stop()
	row := transactor.Tx{}.WithPut(quarantiner.KeyPrefix+"a1", []byte(`{"parts":["dead","book"],"endpoints":["e1","e2","e3"]}`))
	_, err = w.Platform.Commit(t.Context(), row)
	is.NoErr(err)
	clients := make([]requester.Client, len(w.Nodes))
	for i, n := range w.Nodes {
		clients[i] = requester.Client{Address: n.OperatorsAddress(), Credential: "operator"}
		is.Equal(awaitPatterns(t, clients[i], 1)[0], requester.Pattern{ID: "a1", Parts: []string{"book", "dead"}, Endpoints: []string{"e1", "e2", "e3"}})
	}
	is.True(coder.Is(clients[0].Release(t.Context(), "a2"), coder.RowUnknown))
	is.NoErr(clients[0].Release(t.Context(), "a1"))
	for _, c := range clients {
		awaitPatterns(t, c, 0)
	}
	status, _ := call(t, t.Context(), "GET", "http://"+w.Nodes[0].OperatorsAddress()+"/quarantine", "caller")
	is.Equal(status, http.StatusUnauthorized)
}

// awaitPatterns waits until a node lists n patterns, and returns them.
func awaitPatterns(t *testing.T, c requester.Client, n int) []requester.Pattern {
	t.Helper()
	var patterns []requester.Pattern
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var err error
		if patterns, err = c.Quarantine(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(patterns) == n {
			return patterns
		}
	}
	t.Fatalf("the node lists %v", patterns)
	return nil
}
