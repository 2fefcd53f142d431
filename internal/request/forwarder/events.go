package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
)

// eventReader reads the events of a stream. An event that is longer than its buffer is
// accounted for as held for the client until the next one begins; shorter ones are a part
// of what a request in work takes.
type eventReader struct {
	r       *bufio.Reader
	holding *reserver.Holding
	// held is what is accounted for, last the size of the event before in bytes. The events
	// of a stream are often of the same size, and a buffer that grows leaves garbage.
	held int64
	last int
}

// eventBufferSize is the size of the buffer of a stream in bytes.
const eventBufferSize = 4 << 10

func newEventReader(ctx context.Context, r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferSize), holding: reserver.HoldingOf(ctx)}
}

// next returns the next event, including the blank line that ends it. It returns io.EOF
// only if the stream ends between two events.
func (r *eventReader) next() ([]byte, error) {
	r.release()
	var event []byte
	lineStart := 0
	for {
		part, err := r.r.ReadSlice('\n')
		event = r.append(event, part)
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(event) > maxEvent {
			return nil, coder.New(coder.EndpointFailed, "an event is larger than %d bytes", maxEvent)
		}
		if err != nil {
			// The line is longer than the buffer.
			continue
		}
		if len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0 {
			if lineStart > 0 {
				r.last = len(event)
				return event, nil
			}
			event = event[:0]
		}
		lineStart = len(event)
	}
}

// append appends a part to an event and accounts for what it takes.
func (r *eventReader) append(event, part []byte) []byte {
	if event == nil && len(part) == eventBufferSize && r.last > len(part) {
		event = make([]byte, 0, r.last)
	}
	event = append(event, part...)
	if size := int64(cap(event)); size > eventBufferSize && size != r.held {
		r.holding.Grow(size - r.held)
		r.held = size
	}
	return event
}

// release ends the account of the last event.
func (r *eventReader) release() {
	if r.held != 0 {
		r.holding.Grow(-r.held)
		r.held = 0
	}
}
