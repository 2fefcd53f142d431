package dispatcher

import "foxtailflow.example/foxtailflow/internal/request/carrier"

// Refuse ends a job that no worker has got; the queue calls it if the job
// cannot meet its deadline.
func (j *Job) Refuse(err error) {
	refused.Add(1)
	j.done <- carrier.Result{Err: err}
}
