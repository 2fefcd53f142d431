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

// NewRequestID returns a new request identifier, such as "req-0f...".
func NewRequestID() string { return newID("req-") }

// NewOrderID returns a new order identifier, such as "ord-0f...".
func NewOrderID() string { return newID("ord-") }

// NewNodeID returns a new node identifier, such as "node-0f...".
func NewNodeID() string { return newID("node-") }

// NewKeyID returns a new key identifier, such as "key-0f...".
func NewKeyID() string { return newID("key-") }

// NewSecret returns a new secret of 256 random bits for a caller's key, such as
// "ff-0f...".
func NewSecret() string { return newID("ff-") + newID("") }

func newID(prefix string) string {
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return prefix + hex.EncodeToString(b[:])
}
