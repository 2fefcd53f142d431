package recorder

import (
	"encoding/json"
	"expvar"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSummary guards against a summary in another unit than milliseconds, and
// against durations outside the range of the histogram that are not counted.
func TestSummary(t *testing.T) {
	is := is.New(t)
	l := Publish("test-latency-ms")
	for i := range 99 {
		l.Record(time.Duration(i+1) * time.Millisecond)
	}
	l.Record(time.Hour)
	l.Record(0)
	var got map[string]float64
	is.NoErr(json.Unmarshal([]byte(expvar.Get("test-latency-ms").String()), &got))
	is.Equal(got["count"], 101.0)
	is.True(got["p50"] > 49 && got["p50"] < 51.5)
	is.True(got["max"] >= 119000 && got["max"] <= 121000)
}
