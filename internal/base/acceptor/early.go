package acceptor

import (
	"io"
	"net/http"
)

// RespondBeforeBody sends a response to a request whose body has not been read, and then
// discards the body until the read deadline of the connection. A caller that sends its
// whole body before it reads would otherwise see a reset connection and no response.
func RespondBeforeBody(w http.ResponseWriter, r *http.Request, respond func()) {
	control := http.NewResponseController(w)
	// Without full duplex, the server reads a part of the body before it responds.
	_ = control.EnableFullDuplex()
	respond()
	if control.Flush() != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		CallerOf(r.Context()).readNoFurther()
	}
}

// readNoFurther has the server close the connection after the response, as the rest of the
// body of its request may still arrive and would be taken for the next request.
func (c Caller) readNoFurther() {
	if c.conn == nil {
		return
	}
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	c.conn.bodyCut = true
}
