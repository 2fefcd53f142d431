// Package commander is the operators' HTTP interface of a node.
//
// It listens at an address of its own and asks for the operators' credential,
// so that a caller's key never reaches it. Every node offers it: a change that
// one node accepts holds for all.
package commander

import (
	"io"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
)

// Commander serves operators.
type Commander struct {
	Log     zerolog.Logger
	Applier *applier.Applier
	// CredentialHash is the SHA-256 of the operators' credential.
	CredentialHash [32]byte
}

// maxFile bounds one configuration file, in bytes.
const maxFile = 1 << 20

// Routes returns the operators' HTTP interface.
func (c Commander) Routes() http.Handler {
	r := httprouter.New()
	r.GET("/files", c.guard(c.listFiles))
	r.GET("/files/:name", c.guard(c.readFile))
	r.PUT("/files/:name", c.guard(c.putFile))
	r.DELETE("/files/:name", c.guard(c.removeFile))
	r.GET("/merged", c.guard(c.showMerged))
	return r
}

// action is an operator's call; its result is the body of the answer.
type action func(r *http.Request, ps httprouter.Params) ([]byte, error)

func (c Commander) guard(a action) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		err := authenticator.CheckOperator(c.CredentialHash, r.Header.Get("Authorization"))
		var data []byte
		if err == nil {
			data, err = a(r, ps)
		}
		if err != nil {
			c.Log.Info().Str("method", r.Method).Str("path", r.URL.Path).Err(err).Msg("operator call refused")
			encoder.WriteRefusal(w, coder.Of(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}
}

func (c Commander) listFiles(*http.Request, httprouter.Params) ([]byte, error) {
	v := c.Applier.View()
	return encodeFiles(v.Version(), v.Files.Changes()), nil
}

func (c Commander) readFile(_ *http.Request, ps httprouter.Params) ([]byte, error) {
	change, ok := c.Applier.View().Files.File(ps.ByName("name"))
	if !ok {
		return nil, coder.Refuse(coder.ConfigFileUnknown, "there is no file %s", ps.ByName("name"))
	}
	return change.Data, nil
}

func (c Commander) putFile(r *http.Request, ps httprouter.Params) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxFile+1))
	if err != nil {
		return nil, coder.Refuse(coder.MalformedBody, "the file did not arrive whole").WithCause(err)
	}
	if len(data) > maxFile {
		return nil, coder.Refuse(coder.BodyTooLarge, "a file is at most %d bytes", maxFile)
	}
	return c.propose(r, applier.Change{File: ps.ByName("name"), Data: data})
}

func (c Commander) removeFile(r *http.Request, ps httprouter.Params) ([]byte, error) {
	return c.propose(r, applier.Change{File: ps.ByName("name"), Removed: true})
}

// propose takes the version at which the operator has seen the file from the
// query value seen; 0 means that the file did not exist.
func (c Commander) propose(r *http.Request, change applier.Change) ([]byte, error) {
	seen, err := strconv.ParseUint(r.URL.Query().Get("seen"), 10, 64)
	if err != nil {
		return nil, coder.Refuse(coder.MalformedHeader, "the query value seen is not a version")
	}
	version, err := c.Applier.Propose(r.Context(), change, seen)
	if err != nil {
		return nil, err
	}
	c.Log.Info().Uint64("version", version).Str("file", change.File).Bool("removed", change.Removed).Msg("configuration changed")
	return encodeVersion(version), nil
}

func (c Commander) showMerged(*http.Request, httprouter.Params) ([]byte, error) {
	v := c.Applier.View()
	return encodeSettings(v.Version(), v.Result.Settings), nil
}
