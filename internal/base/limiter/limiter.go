// Package limiter bounds what is read from a peer.
//
// A peer in trouble may send bytes without end where a response is expected. A reader
// that waits for the end of a head, a line or a body takes all the memory of the
// process, or is busy until a deadline. A limit that is exceeded is an error, not the
// end of the data: a response that was cut at the limit must not look complete.
package limiter

import (
	"io"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// MaxHead is the usual bound of the head of a response, in bytes.
const MaxHead = 64 << 10

// errTooLong is the error of a peer that has sent more than the limit.
func errTooLong(limit int64) error {
	return coder.New(coder.EndpointFailed, "the peer has sent more than %d bytes without an end of the head or body", limit)
}

// Reader reads from R, within a limit while one is set.
type Reader struct {
	R io.Reader

	limit, left int64
	limited     bool
}

// SetLimit bounds the bytes that are read from now on.
func (r *Reader) SetLimit(limit int64) { r.limit, r.left, r.limited = limit, limit, true }

// Suspend removes the bound until Resume, which continues with what was left of it.
func (r *Reader) Suspend() { r.limited = false }

// Resume bounds the bytes again.
func (r *Reader) Resume() { r.limited = true }

// Read reads bytes; it fails once the limit has been reached.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.R.Read(p)
	}
	if r.left <= 0 {
		return 0, errTooLong(r.limit)
	}
	n, err := r.R.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// ReadAll reads r to its end; it fails if that is more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errTooLong(limit)
	}
	return data, err
}

// Discard reads r to its end; it fails if that is more than limit bytes.
func Discard(r io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		return errTooLong(limit)
	}
	return err
}
