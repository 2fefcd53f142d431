package commander

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
	"foxtailflow.example/foxtailflow/internal/member/registrar"
)

// Standing is what a node knows of itself and the others.
type Standing struct {
	Node    string
	Version uint64
	// Current says that the node serves requests with keys.
	Current bool
	// Away says that the store does not answer the node.
	Away bool
	// Duties are those that the node holds.
	Duties []string
	// Nodes are the registered nodes, Versions the versions in force on those that
	// were heard of lately.
	Nodes    []registrar.Node
	Versions []courier.ConfigNodes
}

func (c Commander) status(*http.Request, httprouter.Params) (answer, error) {
	return ok(encodeStanding(c.Node.Standing()))
}
