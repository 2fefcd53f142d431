package server

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// Status is the status of a node and of the other nodes it knows.
type Status struct {
	Node    string
	Version uint64
	// Current is set if the node serves requests with keys.
	Current bool
	// StoreUnreachable is set if the node cannot reach the store.
	StoreUnreachable bool
	// Duties are the duties whose leases the node holds.
	Duties []string
	// Nodes are the registered nodes. Versions are the configuration versions in
	// force on the nodes known from recent updates.
	Nodes    []registrar.Node
	Versions []courier.ConfigNodes
}

func (s Server) status(*http.Request, httprouter.Params) (response, error) {
	return ok(encodeStatus(s.Node.Status()))
}
