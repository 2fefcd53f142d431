package measurer

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"
)

// testDuration covers the crash of an engine and the first change of load.
const testDuration = 160 * time.Second

// TestWorstShare guards against an entitlement that grows with a flood: an
// account is not entitled to work beyond its share, however much it requests.
func TestWorstShare(t *testing.T) {
	for _, c := range []struct {
		requested, done []float64
		want            float64
	}{
		{[]float64{10, 10}, []float64{10, 10}, 1},
		{[]float64{100, 10}, []float64{50, 10}, 1},
		{[]float64{100, 10}, []float64{55, 5}, 0.5},
		{[]float64{100, 100, 10}, []float64{60, 40, 10}, 0.8},
	} {
		if got := worstShare(c.requested, c.done); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("requested %v, done %v: worst share is %v, want %v", c.requested, c.done, got, c.want)
		}
	}
}

// TestConservation guards against requests that the simulation loses or counts
// twice: at the end each is completed, refused, expired, late or in progress.
func TestConservation(t *testing.T) {
	r := newRun(Plans()[0], presenterMix(), 1)
	r.duration = testDuration
	c := r.execute()
	unfinished := 0
	for _, j := range r.jobs {
		if !j.ended {
			unfinished++
		}
	}
	if sum := c.refused + c.expired + c.late + c.inTime + unfinished; sum != c.offered {
		t.Errorf("%d requests were offered and %d accounted for: %+v, %d in progress", c.offered, sum, c, unfinished)
	}
}

// TestDeterminism guards against an experiment whose results differ between runs
// with the same seed.
func TestDeterminism(t *testing.T) {
	var a, b bytes.Buffer
	PolicyComparison{Out: &a, Seeds: []uint64{1}, Length: testDuration, PlanName: "foxtailflow"}.Run()
	PolicyComparison{Out: &b, Seeds: []uint64{1}, Length: testDuration, PlanName: "foxtailflow"}.Run()
	if a.String() != b.String() || !strings.Contains(a.String(), "presenter-lm") {
		t.Errorf("two runs with seed 1 differ:\n%s\n%s", a.String(), b.String())
	}
}

// TestLossOfSpotEndpoints guards against a fleet that cannot carry a steady load
// after one data centre has lost all its spot endpoints. The seed is 1.
func TestLossOfSpotEndpoints(t *testing.T) {
	for _, m := range []mix{wichseMix(), presenterMix()} {
		m.segments = []segment{{until: runLength, rate: m.segments[0].rate, longShare: m.segments[0].longShare}}
		m.floodAccount, m.crashAt, m.withdrawAt = "", runLength, 60*time.Second
		r := newRun(Plans()[0], m, 1)
		r.duration = testDuration
		c := r.execute()
		removed := 0
		for _, e := range r.engines {
			if e.removed {
				removed++
			}
		}
		failed := c.refused + c.expired + c.late
		t.Logf("%s: %d engines lost; of %d requests %d refused, %d expired, %d late", m.name, removed, c.offered, c.refused, c.expired, c.late)
		if removed == 0 || failed*200 > c.offered {
			t.Errorf("%s: %d engines lost, %d of %d requests refused or late, more than 0.5%%", m.name, removed, failed, c.offered)
		}
	}
}
