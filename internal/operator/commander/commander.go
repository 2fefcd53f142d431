// Package commander is the operators' HTTP interface of a node.
//
// It listens at an address of its own and asks for the operators' credential,
// so that a caller's key never reaches it. Every node offers it: a change that
// one node accepts holds for all.
package commander

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
)

// Commander serves operators.
type Commander struct {
	Log     zerolog.Logger
	Applier applier.Applier
	// CredentialHash is the SHA-256 of the operators' credential.
	CredentialHash [32]byte
	Node           Node
}

// Node is the node that an operator calls.
type Node interface {
	// Files returns the configuration files as the node has them.
	Files() applier.Files
	// AwaitInForce waits until no node serves by an older version, and reports
	// whether that is so.
	AwaitInForce(ctx context.Context, version uint64) bool
	// Standing returns what the node knows of itself and the others.
	Standing() Standing
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
	r.POST("/check", c.guard(c.check))
	r.POST("/keys", c.guard(c.createKey))
	r.DELETE("/keys/:id", c.guard(c.withdrawKey))
	r.GET("/status", c.guard(c.status))
	return r
}

// action is an operator's call.
type action func(r *http.Request, ps httprouter.Params) (answer, error)

// answer is the body of an answer; the zero status means that all was done.
type answer struct {
	status int
	body   []byte
}

func ok(body []byte) (answer, error) { return answer{body: body}, nil }

func (c Commander) guard(a action) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		err := authenticator.CheckOperator(c.CredentialHash, r.Header.Get("Authorization"))
		var done answer
		if err == nil {
			done, err = a(r, ps)
		}
		if err != nil {
			c.Log.Info().Str("method", r.Method).Str("path", r.URL.Path).Err(err).Msg("operator call refused")
			encoder.WriteRefusal(w, whole(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if done.status != 0 {
			w.WriteHeader(done.status)
		}
		_, _ = w.Write(done.body)
	}
}

// whole returns a failure of several faults as one that names them all.
func whole(err error) coder.Error {
	faults := faultsOf(err)
	if len(faults) < 2 {
		return coder.Of(err)
	}
	texts := make([]string, 0, len(faults))
	for _, f := range faults {
		texts = append(texts, strconv.Itoa(int(f.Code()))+": "+f.Message())
	}
	return coder.Refuse(faults[0].Code(), "%s", strings.Join(texts, "; "))
}

// faultsOf splits the error of a merge into the faults that it joins.
func faultsOf(err error) []coder.Error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []coder.Error{coder.Of(err)}
	}
	var faults []coder.Error
	for _, e := range joined.Unwrap() {
		faults = append(faults, coder.Of(e))
	}
	return faults
}

func (c Commander) listFiles(*http.Request, httprouter.Params) (answer, error) {
	return ok(encodeFiles(c.Node.Files()))
}

func (c Commander) readFile(_ *http.Request, ps httprouter.Params) (answer, error) {
	file, found := c.Node.Files().File(ps.ByName("name"))
	if !found {
		return answer{}, coder.Refuse(coder.ConfigFileUnknown, "there is no file %s", ps.ByName("name"))
	}
	return ok(file.Data)
}

// readBody reads a body of up to limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, coder.Refuse(coder.MalformedBody, "the body did not arrive whole").WithCause(err)
	}
	if int64(len(data)) > limit {
		return nil, coder.Refuse(coder.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	return data, nil
}

func (c Commander) putFile(r *http.Request, ps httprouter.Params) (answer, error) {
	data, err := readBody(r, maxFile)
	if err != nil {
		return answer{}, err
	}
	return c.propose(r, applier.Change{File: ps.ByName("name"), Data: data})
}

func (c Commander) removeFile(r *http.Request, ps httprouter.Params) (answer, error) {
	return c.propose(r, applier.Change{File: ps.ByName("name"), Remove: true})
}

// propose takes the version at which the operator has seen the file from the
// query value seen; 0 means that the file did not exist.
func (c Commander) propose(r *http.Request, change applier.Change) (answer, error) {
	seen, err := strconv.ParseUint(r.URL.Query().Get("seen"), 10, 64)
	if err != nil {
		return answer{}, coder.Refuse(coder.MalformedHeader, "the query value seen is not a version")
	}
	version, err := c.Applier.Propose(r.Context(), change, seen)
	if err != nil {
		return answer{}, err
	}
	return c.accepted(r.Context(), change, version, nil), nil
}

// accepted answers a change that is stored; a key is added where one was created.
//
// A change that is not yet in force is an answer and no refusal.
func (c Commander) accepted(ctx context.Context, change applier.Change, version uint64, k *createdKey) answer {
	inForce := c.Node.AwaitInForce(ctx, version)
	c.Log.Info().Uint64("version", version).Str("file", change.File).Bool("removed", change.Remove).
		Bool("in-force", inForce).Msg("configuration changed")
	done := answer{body: encodeAccepted(version, inForce, k)}
	if !inForce {
		done.status = http.StatusAccepted
	}
	return done
}

func (c Commander) showMerged(*http.Request, httprouter.Params) (answer, error) {
	files := c.Node.Files()
	merged, err := merger.Merge(files.ParserFiles())
	if err != nil {
		return answer{}, err
	}
	return ok(encodeSettings(files.Version(), merged.Settings))
}

// maxFolder bounds a whole folder of files, in bytes.
const maxFolder = 64 << 20

func (c Commander) check(r *http.Request, _ httprouter.Params) (answer, error) {
	data, err := readBody(r, maxFolder)
	if err != nil {
		return answer{}, err
	}
	files, err := decodeFiles(data)
	if err != nil {
		return answer{}, err
	}
	if _, err := merger.Merge(files); err != nil {
		return ok(encodeFaults(faultsOf(err)))
	}
	return ok(encodeFaults(nil))
}
