package commander

import (
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/config/applier"
	"foxtailflow.example/foxtailflow/internal/config/merger"
)

// createdKey is a new key; its secret is shown once and kept nowhere.
type createdKey struct {
	id      string
	account string
	file    string
	secret  string
}

const (
	// maxKeyRequest bounds the request for a key, in bytes.
	maxKeyRequest = 4 << 10
	// withdrawTries bounds the tries of a withdrawal against changes of the
	// same file; a key's file is hardly ever changed otherwise.
	withdrawTries = 5
)

func keyFile(id string) string { return id + ".ini" }

func (c Commander) createKey(r *http.Request, _ httprouter.Params) (answer, error) {
	data, err := readBody(r, maxKeyRequest)
	if err != nil {
		return answer{}, err
	}
	account, err := decodeKeyRequest(data)
	if err != nil {
		return answer{}, err
	}
	k := createdKey{id: identifier.Key(), account: account, secret: identifier.Secret()}
	k.file = keyFile(k.id)
	text := fmt.Sprintf("[key %q]\nclient-account = %s\nhash = %s\n", k.id, account, authenticator.EncodedHash(k.secret))
	change := applier.Change{File: k.file, Data: []byte(text)}
	version, err := c.Applier.Propose(r.Context(), change, 0)
	switch {
	case coder.Is(err, coder.ConfigOutcomeUnsure):
		// The secret is lost with this answer, so the key must not stay unnoticed.
		return answer{}, coder.Wrap(coder.ConfigOutcomeUnsure, err, "key %s may have been stored; withdraw it and create another", k.id)
	case err != nil:
		return answer{}, err
	}
	return c.accepted(r.Context(), change, version, &k), nil
}

// withdrawKey removes the file of a key.
//
// It takes the file at whatever version it has, since the operator names the
// key and not a content.
func (c Commander) withdrawKey(r *http.Request, ps httprouter.Params) (answer, error) {
	id := ps.ByName("id")
	change := applier.Change{File: keyFile(id), Remove: true}
	for n := 0; ; n++ {
		files, err := c.Applier.Load(r.Context())
		if err != nil {
			return answer{}, err
		}
		seen := files.ChangedAt(change.File)
		if seen == 0 {
			return answer{}, keyElsewhere(files, id)
		}
		version, err := c.Applier.Propose(r.Context(), change, seen)
		switch {
		case coder.Is(err, coder.ConfigConflict) && n < withdrawTries:
			continue
		case err != nil:
			return answer{}, err
		}
		return c.accepted(r.Context(), change, version, nil), nil
	}
}

// keyElsewhere tells why a key has no file of its own.
func keyElsewhere(files applier.Files, id string) error {
	merged, err := merger.Merge(files.ParserFiles())
	if err != nil {
		return err
	}
	for _, s := range merged.Settings {
		if s.Section.Kind == "key" && s.Section.Name == id {
			return coder.Refuse(coder.ConfigFileUnknown, "key %s stands in file %s; change that file", id, s.File)
		}
	}
	return coder.Refuse(coder.ConfigFileUnknown, "there is no key %s", id)
}
