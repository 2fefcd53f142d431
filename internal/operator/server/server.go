// Package server serves the operators' HTTP interface of a node.
//
// The interface listens on its own address and requires the operators'
// credential, so a caller's key gives no access to it. Every node serves it, and
// a change that one node accepts applies to all nodes.
package server

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
	"foxtailflow.example/foxtailflow/internal/request/quarantiner"
)

// Server serves the operators' HTTP interface.
type Server struct {
	Log     zerolog.Logger
	Applier applier.Applier
	// CredentialHash is the SHA-256 of the operators' credential.
	CredentialHash [32]byte
	Node           Node
}

// Node is the node that serves the operators' calls.
type Node interface {
	// Files returns the configuration files that the node has.
	Files() applier.Files
	// AwaitInForce waits until no node serves requests by an older version. It
	// returns false if it cannot confirm this.
	AwaitInForce(ctx context.Context, version uint64) bool
	// Status returns the status of the node and of the other nodes it knows.
	Status() Status
	// Quarantined lists the prompt patterns that are refused, and ReleaseQuarantined
	// takes one out of force by its key.
	Quarantined() []quarantiner.Entry
	ReleaseQuarantined(ctx context.Context, key string) error
}

// maxFileBytes is the size limit of a configuration file.
const maxFileBytes = 1 << 20

// Routes returns the handler of the operators' HTTP interface.
func (s Server) Routes() http.Handler {
	r := httprouter.New()
	r.GET("/files", s.handle(s.listFiles))
	r.GET("/files/:name", s.handle(s.readFile))
	r.PUT("/files/:name", s.handle(s.putFile))
	r.DELETE("/files/:name", s.handle(s.removeFile))
	r.GET("/merged", s.handle(s.showMerged))
	r.POST("/check", s.handle(s.check))
	r.POST("/keys", s.handle(s.createKey))
	r.DELETE("/keys/:id", s.handle(s.withdrawKey))
	r.GET("/status", s.handle(s.status))
	r.GET("/quarantine", s.handle(s.listQuarantine))
	r.DELETE("/quarantine/:id", s.handle(s.releaseQuarantine))
	return r
}

// handler handles one operator call.
type handler func(r *http.Request, ps httprouter.Params) (response, error)

// response is a successful response; a zero status means 200.
type response struct {
	status int
	body   []byte
}

func ok(body []byte) (response, error) { return response{body: body}, nil }

func (s Server) handle(h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		err := authenticator.CheckOperator(s.CredentialHash, r.Header.Get("Authorization"))
		var resp response
		if err == nil {
			resp, err = h(r, ps)
		}
		if err != nil {
			s.Log.Info().Str("method", r.Method).Str("path", r.URL.Path).Err(err).Msg("operator call refused")
			encoder.WriteRefusal(w, combineErrors(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if resp.status != 0 {
			w.WriteHeader(resp.status)
		}
		_, _ = w.Write(resp.body)
	}
}

// combineErrors returns one error with the codes and messages of all errors
// joined in err.
func combineErrors(err error) coder.Error {
	errs := splitErrors(err)
	if len(errs) < 2 {
		return coder.FromError(err)
	}
	texts := make([]string, 0, len(errs))
	for _, e := range errs {
		f := coder.FromError(e)
		texts = append(texts, strconv.Itoa(int(f.Code()))+": "+f.Message())
	}
	return coder.Refuse(coder.FromError(errs[0]).Code(), "%s", strings.Join(texts, "; "))
}

// splitErrors returns the errors that are joined in the error of a merge.
func splitErrors(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

func (s Server) listFiles(*http.Request, httprouter.Params) (response, error) {
	return ok(encodeFiles(s.Node.Files()))
}

func (s Server) readFile(_ *http.Request, ps httprouter.Params) (response, error) {
	file, found := s.Node.Files().File(ps.ByName("name"))
	if !found {
		return response{}, coder.Refuse(coder.ConfigFileUnknown, "there is no file %s", ps.ByName("name"))
	}
	return ok(file.Data)
}

// readBody reads a request body of up to limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, coder.Refuse(coder.MalformedBody, "the request body is incomplete").WithCause(err)
	}
	if int64(len(data)) > limit {
		return nil, coder.Refuse(coder.BodyTooLarge, "the request body is larger than %d bytes", limit)
	}
	return data, nil
}

func (s Server) putFile(r *http.Request, ps httprouter.Params) (response, error) {
	data, err := readBody(r, maxFileBytes)
	if err != nil {
		return response{}, err
	}
	return s.propose(r, applier.Change{File: ps.ByName("name"), Data: data})
}

func (s Server) removeFile(r *http.Request, ps httprouter.Params) (response, error) {
	return s.propose(r, applier.Change{File: ps.ByName("name"), Remove: true})
}

// propose applies a change to a file. The query parameter seen is the version at
// which the operator last saw the file; 0 means that the file did not exist.
func (s Server) propose(r *http.Request, change applier.Change) (response, error) {
	seen, err := strconv.ParseUint(r.URL.Query().Get("seen"), 10, 64)
	if err != nil {
		return response{}, coder.Refuse(coder.MalformedHeader, "the query parameter seen is not a version number")
	}
	version, err := s.Applier.Propose(r.Context(), change, seen)
	if err != nil {
		return response{}, err
	}
	return s.acceptedResponse(r.Context(), change, version, nil), nil
}

// acceptedResponse waits until a stored change is in force and returns the
// response to it, with the created key if k is set.
//
// A stored change that is not yet in force is a success with status 202, not an
// error.
func (s Server) acceptedResponse(ctx context.Context, change applier.Change, version uint64, k *createdKey) response {
	inForce := s.Node.AwaitInForce(ctx, version)
	s.Log.Info().Uint64("version", version).Str("file", change.File).Bool("removed", change.Remove).
		Bool("in-force", inForce).Msg("configuration changed")
	resp := response{body: encodeAccepted(version, inForce, k)}
	if !inForce {
		resp.status = http.StatusAccepted
	}
	return resp
}

func (s Server) showMerged(*http.Request, httprouter.Params) (response, error) {
	files := s.Node.Files()
	merged, err := merger.Merge(files.ParserFiles())
	if err != nil {
		return response{}, err
	}
	return ok(encodeSettings(files.Version(), merged.Settings))
}

// maxFolderBytes is the size limit of a request that checks a folder of files.
const maxFolderBytes = 64 << 20

func (s Server) check(r *http.Request, _ httprouter.Params) (response, error) {
	data, err := readBody(r, maxFolderBytes)
	if err != nil {
		return response{}, err
	}
	files, err := decodeFiles(data)
	if err != nil {
		return response{}, err
	}
	warnings, err := s.Applier.Check(files)
	if err != nil {
		return ok(encodeCheck(splitErrors(err), nil))
	}
	return ok(encodeCheck(nil, warnings))
}
