package forwarder

import (
	"strconv"

	"foxtailflow.example/foxtailflow/internal/base/coder"
)

// Sequence is the position in an event stream. Only the event that follows the last one
// is part of the stream: any other was lost, comes again, or is of no run.
type Sequence struct {
	// last is the number of the last event, 0 before the first.
	last uint64
	// limit is the number of the last possible event, 0 if it is not known.
	limit uint64
}

// NewSequence returns the position after an event, 0 for the beginning of the stream. A
// stream has at most limit events; 0 means no bound.
func NewSequence(last, limit uint64) Sequence { return Sequence{last: last, limit: limit} }

// Last returns the number of the last event, 0 before the first.
func (s Sequence) Last() uint64 { return s.last }

// Next returns the number of the event that is due.
func (s Sequence) Next() uint64 { return s.last + 1 }

// With returns the position after an event. It fails with EndpointFailed if the event has a
// number and is not the one that is due.
func (s Sequence) With(e Event) (Sequence, error) {
	if e.Number != 0 && e.Number != s.Next() {
		return s, coder.New(coder.EndpointFailed, "the event has number %d", e.Number)
	}
	if e.Number != 0 && s.limit != 0 && e.Number > s.limit {
		return s, coder.New(coder.EndpointFailed, "the request allows %d events", s.limit)
	}
	s.last = s.Next()
	return s, nil
}

// ParseEventNumber parses the number of an event in its only valid form: decimal, without
// sign, space or leading zeros.
func ParseEventNumber(text string) (uint64, bool) {
	// The number after the greatest valid one is in range, too.
	n, err := strconv.ParseUint(text, 10, 63)
	return n, err == nil && strconv.FormatUint(n, 10) == text
}
