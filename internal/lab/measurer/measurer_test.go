package measurer

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"
)

// testLength covers the crash of an engine and the first swing.
const testLength = 160 * time.Second

// TestWorst guards against an entitlement that counts a flood as a claim: what
// an account asks beyond its share entitles it to nothing.
func TestWorst(t *testing.T) {
	for _, c := range []struct {
		asked, got []float64
		want       float64
	}{
		{[]float64{10, 10}, []float64{10, 10}, 1},
		{[]float64{100, 10}, []float64{50, 10}, 1},
		{[]float64{100, 10}, []float64{55, 5}, 0.5},
		{[]float64{100, 100, 10}, []float64{60, 40, 10}, 0.8},
	} {
		if got := worst(c.asked, c.got); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("asked %v, got %v: the worst part is %v, not %v", c.asked, c.got, got, c.want)
		}
	}
}

// TestConservation guards against requests that are lost or counted twice by
// the loop: at the end each is answered, refused, expired, late or in progress.
func TestConservation(t *testing.T) {
	r := newRun(Plans()[0], radio(), 1)
	r.length = testLength
	c := r.do()
	open := 0
	for _, j := range r.jobs {
		if !j.over {
			open++
		}
	}
	if sum := c.refused + c.expired + c.late + c.good + open; sum != c.offered {
		t.Errorf("%d requests were offered and %d accounted for: %+v, %d open", c.offered, sum, c, open)
	}
}

// TestRepeats guards against an experiment that differs from run to run.
func TestRepeats(t *testing.T) {
	var a, b bytes.Buffer
	Measurer{Out: &a, Seeds: []uint64{1}, Length: testLength, Only: "foxtailflow"}.Run()
	Measurer{Out: &b, Seeds: []uint64{1}, Length: testLength, Only: "foxtailflow"}.Run()
	if a.String() != b.String() || !strings.Contains(a.String(), "presenter-lm") {
		t.Errorf("two runs with seed 1 differ:\n%s\n%s", a.String(), b.String())
	}
}
