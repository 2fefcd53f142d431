// Package authenticator tells which client account a request is for.
//
// A caller sends the secret of a key; the configuration keeps only its SHA-256.
// Finding the key by that hash takes time that tells nothing about the secret,
// and the hash is compared in constant time besides. The secret is never kept
// or logged, and never reaches an endpoint.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// Caller is who sent a request.
type Caller struct {
	// Account is the client account; the zero value on an open route without key.
	Account definer.Account
	// KeyID is the key that came with the request; empty on an open route.
	KeyID string
}

// Hash returns the SHA-256 of a secret.
func Hash(secret string) [32]byte {
	return sha256.Sum256([]byte(secret))
}

// HashText returns the SHA-256 of a secret as configuration files have it.
func HashText(secret string) string {
	h := Hash(secret)
	return "sha256:" + hex.EncodeToString(h[:])
}

// Authenticate finds the caller of a request to a route.
//
// It fails with KeyMissing, KeyUnknown or KeyNotForRoute; none of these
// requests has run.
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

// Identify finds the caller that the Authorization header names.
func Identify(cfg definer.Config, authorization string) (Caller, error) {
	secret, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || secret == "" {
		return Caller{}, coder.Refuse(coder.KeyMissing, "the request has no bearer key")
	}
	hash := Hash(secret)
	key, ok := cfg.KeyByHash(hash)
	if !ok || subtle.ConstantTimeCompare(key.Hash[:], hash[:]) != 1 {
		return Caller{}, coder.Refuse(coder.KeyUnknown, "the key is not known or was withdrawn")
	}
	account, ok := cfg.Account(key.Account)
	if !ok {
		return Caller{}, coder.Refuse(coder.KeyUnknown, "the key is not known or was withdrawn")
	}
	return Caller{Account: account, KeyID: key.ID}, nil
}

// CheckOperator checks the credential of an operator against its hash.
func CheckOperator(hash [32]byte, authorization string) error {
	secret, _ := strings.CutPrefix(authorization, "Bearer ")
	got := Hash(secret)
	if secret == "" || subtle.ConstantTimeCompare(hash[:], got[:]) != 1 {
		return coder.Refuse(coder.OperatorCredential, "the operator credential is missing or wrong")
	}
	return nil
}
