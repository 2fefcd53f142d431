// Package identifier generates the identifiers of requests, orders, nodes and
// keys.
//
// An identifier has 128 random bits, so that nodes can generate identifiers
// without coordination. Its prefix shows in a log line what kind of object it
// identifies.
package identifier

import (
	"crypto/rand"
	"encoding/hex"
)

const randomBytes = 16

// Request returns a new request identifier, such as "req-0f...".
func Request() string { return newID("req-") }

// Order returns a new order identifier, such as "ord-0f...".
func Order() string { return newID("ord-") }

// Node returns a new node identifier, such as "node-0f...".
func Node() string { return newID("node-") }

// Key returns a new key identifier, such as "key-0f...".
func Key() string { return newID("key-") }

// Secret returns a new secret of 256 random bits for a caller's key, such as
// "ff-0f...".
func Secret() string { return newID("ff-") + newID("") }

func newID(prefix string) string {
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return prefix + hex.EncodeToString(b[:])
}
