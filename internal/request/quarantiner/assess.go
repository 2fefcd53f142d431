package quarantiner

import (
	"context"
	"time"

	"foxtailflow.example/foxtailflow/internal/decision/attributor"
	"foxtailflow.example/foxtailflow/internal/inner/courier"
)

// AssessInterval is how often Assess is to be called.
const AssessInterval = 250 * time.Millisecond

// Assess assesses the evidence when that is due, and stores and removes findings; a
// periodic task calls it.
func (q *Quarantine) Assess(ctx context.Context) error {
	q.currentView()
	return q.updateRows(ctx, q.Clock.Now())
}

// assess brings the findings of the present evidence into force.
func (q *Quarantine) assess() {
	q.assessMu.Lock()
	defer q.assessMu.Unlock()
	now := q.Clock.Now()
	rows := q.rows.Get()
	known := make([]attributor.Pattern, 0, len(rows))
	after := view{patterns: make(map[string]attributor.Pattern)}
	for key, row := range rows {
		known = append(known, row.pattern)
		after.patterns[key] = row.pattern
	}
	var evidence attributor.Evidence
	q.evidence.Update(func(e attributor.Evidence) (attributor.Evidence, bool) {
		evidence = e.Without(now.Add(-evidenceLifetime))
		return evidence, evidence.Len() != e.Len()
	})
	a := evidence.Assess(now, known)
	after.suspects, after.findings, after.next = a.Suspects, a.Findings, a.Next
	for _, f := range a.Findings {
		after.patterns[f.Pattern.Key()] = f.Pattern
	}
	before := q.view.Get()
	q.view.Update(func(view) (view, bool) { return after, true })
	q.report(before, after)
}

// report logs what has changed between two assessments.
func (q *Quarantine) report(before, after view) {
	for part, s := range after.suspects {
		if s.Crashes > max(before.suspects[part].Crashes, 1) {
			q.Log.Warn().Str("part", part).Int("crashes", s.Crashes).Msg("prompt part suspected of crashing endpoints")
		}
	}
	for _, f := range after.findings {
		if key := f.Pattern.Key(); before.patterns[key] == nil {
			q.Log.Error().Str("pattern", key).Strs("parts", f.Pattern).Strs("endpoints", f.Endpoints).Msg("prompts that crash endpoints are refused")
		}
	}
	for key, p := range after.patterns {
		if before.patterns[key] == nil {
			inForce.Set(key, text(p))
		}
	}
	for key, p := range before.patterns {
		if after.patterns[key] == nil {
			q.Log.Warn().Str("pattern", key).Strs("parts", p).Msg("prompts are no longer refused")
			inForce.Delete(key)
		}
	}
}

// ChangedSince returns the reports of crashes that have changed after a revision, and
// the current revision.
func (q *Quarantine) ChangedSince(revision uint64) ([]courier.CrashReport, uint64) {
	e := q.evidence.Get()
	if e.Revision() == revision {
		return nil, revision
	}
	now := q.Clock.Now()
	var reports []courier.CrashReport
	for _, c := range e.Since(revision) {
		reports = append(reports, courier.CrashReport{
			Endpoint: c.Endpoint, Age: now.Sub(c.EndedAt), Suspects: c.Suspects, Known: c.Known, Cleared: c.Cleared, Refuted: c.Refuted,
		})
	}
	return reports, e.Revision()
}

// Merge takes the reports of another node. An endpoint that this node knows to have
// announced that it is leaving has not crashed.
func (q *Quarantine) Merge(reports []courier.CrashReport) {
	if len(reports) == 0 {
		return
	}
	now := q.Clock.Now()
	q.change(func(e attributor.Evidence) attributor.Evidence {
		for _, r := range reports {
			if r.Age >= evidenceLifetime {
				continue
			}
			c := attributor.Crash{Endpoint: r.Endpoint, EndedAt: now.Add(-r.Age), Refuted: r.Refuted}.
				WithSuspects(r.Suspects...).WithKnown(r.Known...).WithCleared(r.Cleared...)
			if x, ok := q.Endpoint(r.Endpoint); ok && (x.Leaving || x.Announced) && r.Age < announcedAge {
				c = c.WithRefuted()
			}
			e = e.WithCrash(q.withKnown(c))
		}
		return e
	})
}

// Changed returns a channel that is closed when the evidence changes.
func (q *Quarantine) Changed() <-chan struct{} {
	_, changed := q.evidence.Watch()
	return changed
}
