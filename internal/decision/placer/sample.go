package placer

import "foxtailflow.example/foxtailflow/internal/decision/picker"

// The load of an engine is known with the delay of the messages between nodes. If all nodes
// chose the engine that is best by what they know, they would all choose the same one until
// they hear of each other's choices. So each request is compared at a few engines only, drawn
// by a hash of its key.
const (
	// localSample and remoteSample are the engines that are compared in the data centre of
	// the request and in all others together.
	localSample  = 2
	remoteSample = 1
	// decodeSample is the number of decode engines that are compared in each data centre.
	decodeSample = 3
)

// maxSample is the largest number of engines that are drawn from one set.
const maxSample = max(localSample+remoteSample, decodeSample)

// drawPrefill marks the engines at which the prefill of the request is compared: a few drawn
// by the key, and the one that has its prefix cached.
func (c *comparison) drawPrefill(key uint64, holder int) {
	var local, remote draw
	for i := range c.Engines {
		if !c.accepts(i, picker.Prefill) {
			continue
		}
		if c.Engines[i].DataCentre == c.Requirements.DataCentre {
			local.add(i, hashScore(key, c.Engines[i].ID))
		} else {
			remote.add(i, hashScore(key, c.Engines[i].ID))
		}
	}
	locals := local.first(localSample)
	for _, i := range locals {
		c.estimates[i].comparedPrefill = true
	}
	for _, i := range remote.first(remoteSample + localSample - len(locals)) {
		c.estimates[i].comparedPrefill = true
	}
	if holder >= 0 && c.accepts(holder, picker.Prefill) {
		c.estimates[holder].comparedPrefill = true
	}
}

// drawDecode marks the decode engines that are compared, some in each data centre, and the one
// that has the prefix cached.
func (c *comparison) drawDecode(key uint64, holder int) {
	draws := make(map[string]*draw)
	for i := range c.Engines {
		if !c.accepts(i, picker.Decode) {
			continue
		}
		d := draws[c.Engines[i].DataCentre]
		if d == nil {
			d = &draw{}
			draws[c.Engines[i].DataCentre] = d
		}
		d.add(i, hashScore(key, c.Engines[i].ID))
	}
	for _, d := range draws {
		for _, i := range d.first(decodeSample) {
			c.estimates[i].comparedDecode = true
		}
	}
	if holder >= 0 && c.accepts(holder, picker.Decode) {
		c.estimates[holder].comparedDecode = true
	}
}

// draw has the engines with the lowest scores of a set, and these scores, in their order. It
// keeps no others: the time to insert into a list of thousands would dominate a decision.
type draw struct {
	indexes [maxSample]int
	scores  [maxSample]float64
	count   int
}

func (d *draw) add(i int, score float64) {
	at := d.count
	for at > 0 && score < d.scores[at-1] {
		at--
	}
	if at == maxSample {
		return
	}
	d.count = min(d.count+1, maxSample)
	copy(d.scores[at+1:d.count], d.scores[at:])
	copy(d.indexes[at+1:d.count], d.indexes[at:])
	d.scores[at], d.indexes[at] = score, i
}

// first returns up to n engines with the lowest scores.
func (d *draw) first(n int) []int { return d.indexes[:min(n, d.count)] }
