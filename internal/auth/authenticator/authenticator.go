// Package authenticator finds the client account of a request.
//
// A caller sends the secret of a key; the configuration has only its SHA-256.
// The time to look up a key by that hash reveals nothing about the secret, and
// the hash is also compared in constant time. The secret is never stored or
// logged, and is never sent to an endpoint.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Caller identifies the sender of a request.
type Caller struct {
	// Account is the client account; the zero value on an open route.
	Account definer.Account
	// KeyID is the identifier of the request's key; empty on an open route.
	KeyID string
}

// HashSecret returns the SHA-256 of a secret.
func HashSecret(secret string) [32]byte {
	return sha256.Sum256([]byte(secret))
}

// EncodedHash returns the SHA-256 of a secret in the format of configuration files.
func EncodedHash(secret string) string {
	h := HashSecret(secret)
	return "sha256:" + hex.EncodeToString(h[:])
}

// Authenticate returns the caller of a request to a route.
//
// It fails with KeyMissing, KeyUnknown or KeyNotForRoute; the request has not
// run in any of these cases.
func Authenticate(cfg definer.Config, route definer.Route, authorization string) (Caller, error) {
	if route.Access == definer.Open {
		return Caller{}, nil
	}
	caller, err := Identify(cfg, authorization)
	if err != nil {
		return Caller{}, err
	}
	if !route.Allows(caller.Account.Name) {
		return Caller{}, coder.Refuse(coder.KeyNotForRoute, "the client account may not use this route")
	}
	return caller, nil
}

// Identify returns the caller whose key is in the Authorization header.
func Identify(cfg definer.Config, authorization string) (Caller, error) {
	secret, ok := bearerSecret(authorization)
	if !ok {
		return Caller{}, coder.Refuse(coder.KeyMissing, "the request has no bearer key")
	}
	hash := HashSecret(secret)
	key, ok := cfg.KeyByHash(hash)
	if !ok || subtle.ConstantTimeCompare(key.Hash[:], hash[:]) != 1 {
		return Caller{}, coder.Refuse(coder.KeyUnknown, "the key is unknown or has been withdrawn")
	}
	account, ok := cfg.Account(key.Account)
	if !ok {
		return Caller{}, coder.Refuse(coder.KeyUnknown, "the key is unknown or has been withdrawn")
	}
	return Caller{Account: account, KeyID: key.ID}, nil
}

// bearerSecret returns the secret of an Authorization header; false if it has none. The
// name of the scheme may be in any case.
func bearerSecret(authorization string) (string, bool) {
	scheme, secret, _ := strings.Cut(authorization, " ")
	return secret, secret != "" && strings.EqualFold(scheme, "bearer")
}

// CheckOperator checks the credential of an operator against its hash.
func CheckOperator(hash [32]byte, authorization string) error {
	secret, ok := bearerSecret(authorization)
	got := HashSecret(secret)
	if !ok || subtle.ConstantTimeCompare(hash[:], got[:]) != 1 {
		return coder.Refuse(coder.OperatorCredential, "the operator credential is missing or wrong")
	}
	return nil
}
