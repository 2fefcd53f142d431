package dispatcher

import (
	"time"

	"foxtailflow.example/foxtailflow/internal/base/recorder"
	"foxtailflow.example/foxtailflow/internal/decision/explainer"
	"foxtailflow.example/foxtailflow/internal/request/forwarder"
)

// The metrics of sends: the times from the choice of an endpoint to the first byte of the
// request, and the ages of the list of endpoints at that byte.
var (
	sendDelays   = recorder.Publish("endpoint-choice-to-send-ms")
	sendListAges = recorder.Publish("endpoint-list-age-at-send-ms")
)

const (
	// loggedSendDelay is the time from the choice to the first byte from which on a send
	// is logged.
	loggedSendDelay = 250 * time.Millisecond
	// loggedListAge is the age of the list at the first byte from which on a send is
	// logged: a node that keeps up is below it.
	loggedListAge = 1500 * time.Millisecond
)

// recordDelay records how long after its choice a request was sent, and how old the list
// of endpoints was by then.
func (d *Dispatcher) recordDelay(c *execution, t *try, rep forwarder.Report) {
	if rep.SentAt.IsZero() {
		return
	}
	delay := rep.SentAt.Sub(t.chosenAt)
	sendDelays.Record(delay)
	sendListAges.Record(rep.ListAge)
	if delay >= loggedSendDelay || rep.ListAge >= loggedListAge {
		explainer.LogLateSend(d.Log, c.job.request.ID, t.endpoint.ID, delay, rep.ListAge)
	}
}
