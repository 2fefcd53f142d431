package server

import (
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// createdKey is a new key. Its secret is returned once and not stored.
type createdKey struct {
	id      string
	account string
	file    string
	secret  string
}

const (
	// maxKeyRequestBytes is the size limit of a request that creates a key.
	maxKeyRequestBytes = 4 << 10
	// maxWithdrawRetries limits the retries of a withdrawal after concurrent
	// changes of the key's file, which are rare.
	maxWithdrawRetries = 5
)

func (s Server) createKey(r *http.Request, _ httprouter.Params) (response, error) {
	data, err := readBody(r, maxKeyRequestBytes)
	if err != nil {
		return response{}, err
	}
	account, err := decodeKeyRequest(data)
	if err != nil {
		return response{}, err
	}
	k := createdKey{id: identifier.NewKeyID(), account: account, secret: identifier.NewSecret()}
	k.file = parser.KeyFile(k.id)
	text := fmt.Sprintf("[key %q]\nclient-account = %s\nhash = %s\n", k.id, account, authenticator.EncodedHash(k.secret))
	change := applier.Change{File: k.file, Data: []byte(text)}
	version, err := s.Applier.Propose(r.Context(), change, 0)
	switch {
	case coder.Is(err, coder.ConfigOutcomeUnsure):
		// The secret is lost, since the operator gets an error instead of the key. The
		// key may be stored, so the error names it.
		return response{}, coder.Wrap(coder.ConfigOutcomeUnsure, err, "key %s may have been stored; withdraw it and create another", k.id)
	case err != nil:
		return response{}, err
	}
	return s.acceptedResponse(r.Context(), change, version, &k), nil
}

// withdrawKey removes the file of a key.
//
// It removes the file at its current version, since the operator names the key
// and not a version of its file.
func (s Server) withdrawKey(r *http.Request, ps httprouter.Params) (response, error) {
	id := ps.ByName("id")
	change := applier.Change{File: parser.KeyFile(id), Remove: true}
	for n := 0; ; n++ {
		files, err := s.Applier.Load(r.Context())
		if err != nil {
			return response{}, err
		}
		seen := files.ChangedAt(change.File)
		if seen == 0 {
			return response{}, missingKeyFileError(files, id)
		}
		version, err := s.Applier.Propose(r.Context(), change, seen)
		switch {
		case coder.Is(err, coder.ConfigConflict) && n < maxWithdrawRetries:
			continue
		case err != nil:
			return response{}, err
		}
		return s.acceptedResponse(r.Context(), change, version, nil), nil
	}
}

// missingKeyFileError returns the error for a key that has no file of its own.
func missingKeyFileError(files applier.Files, id string) error {
	merged, err := merger.Merge(files.ParserFiles())
	if err != nil {
		return err
	}
	for _, s := range merged.Settings {
		if s.Section.Kind == "key" && s.Section.Name == id {
			return coder.Refuse(coder.ConfigFileUnknown, "key %s is defined in file %s; edit that file", id, s.File)
		}
	}
	return coder.Refuse(coder.ConfigFileUnknown, "there is no key %s", id)
}
