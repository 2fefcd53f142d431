package checker

import (
	"strconv"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// shortDeadlines reports routes whose requests end before their latency target.
func shortDeadlines(s subject) (faults []parser.Fault) {
	for _, r := range s.cfg.Routes() {
		if r.Deadline > 0 && r.Deadline < r.LatencyTarget {
			faults = append(faults, s.warning(coder.ConfigDeadlineShort, parser.KindRoute, r.Name, "deadline", "the deadline %v is shorter than the latency target %v", r.Deadline, r.LatencyTarget))
		}
	}
	return faults
}

// missingRetryBudgets reports several attempts where there is no budget for them: after
// the initial reserve of the budget is spent, each request has one attempt.
func missingRetryBudgets(s subject) (faults []parser.Fault) {
	noBudget := func(r definer.Rule) bool { return r.RetryShare <= 0 && r.RetryBurst <= 0 }
	for _, d := range s.cfg.Deployments() {
		if r := s.cfg.Rule(d.Name); r.Attempts > 1 && noBudget(r) {
			faults = append(faults, s.warning(coder.ConfigNoRetryBudget, parser.KindRule, r.Name, "retry-share", "%d attempts are allowed and the share of retries is 0", r.Attempts))
		}
	}
	for _, r := range s.cfg.Routes() {
		if r.Attempts > 1 && r.RetryPolicy != definer.RetryNever && noBudget(s.cfg.Rule(r.Deployment)) {
			faults = append(faults, s.warning(coder.ConfigNoRetryBudget, parser.KindRoute, r.Name, "attempts", "%d attempts are allowed and the share of retries of the deployment %s is 0", r.Attempts, r.Deployment))
		}
	}
	return faults
}

// bodiesOverMemory reports limits of request bodies beyond what a node has memory for.
func bodiesOverMemory(s subject) (faults []parser.Fault) {
	largest := s.bounds.LargestBody
	if largest <= 0 {
		return nil
	}
	const text = "bodies of %d bytes are allowed and the node has memory for %d"
	if n := s.cfg.Limits().MaxBody; n > largest {
		faults = append(faults, s.warning(coder.ConfigBodyOverMemory, parser.KindLimits, "", "max-body", text, n, largest))
	}
	for _, r := range s.cfg.Routes() {
		if r.MaxBody > largest {
			faults = append(faults, s.warning(coder.ConfigBodyOverMemory, parser.KindRoute, r.Name, "max-body", text, r.MaxBody, largest))
		}
	}
	return faults
}

// smallQuotas reports quotas whose burst is less than one request: such a request is
// admitted from a full bucket only, and leaves a debt.
func smallQuotas(s subject) (faults []parser.Fault) {
	for _, a := range s.cfg.Accounts() {
		q := a.Quota
		request := q.Cost(q.PlainTokens, true)
		if !q.Limited() || q.Size() >= request {
			continue
		}
		key := "quota-burst"
		if q.Burst == 0 {
			key = "quota-rate"
		}
		faults = append(faults, s.warning(coder.ConfigQuotaSmall, parser.KindAccount, a.Name, key, "the burst of %s %s is less than one request, which counts %s", decimal(q.Size()), q.Unit, decimal(request)))
	}
	return faults
}

// decimal writes a number as files have it, without an exponent.
func decimal(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// longDrains reports a drain that the end of the process cuts off.
func longDrains(s subject) []parser.Fault {
	drain, grace := s.cfg.Limits().DrainTimeout, s.bounds.Grace
	if grace <= 0 || drain <= grace {
		return nil
	}
	return []parser.Fault{s.warning(coder.ConfigDrainLong, parser.KindLimits, "", "drain-wait", "a draining node may take %v and is ended after %v", drain, grace)}
}
