// Package biller converts the usage of responses to meters, and the meters of a
// window to the figures that are billed.
package biller

import (
	"cmp"
	"maps"
	"slices"

	"foxtailflow.example/foxtailflow/internal/inner/courier"
)

// Figures are the billed quantities of one client account and model.
type Figures struct {
	Account      string
	Model        string
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// Meters returns the figures as counts of meters.
func (f Figures) Meters() map[courier.Meter]int {
	counts := make(map[courier.Meter]int, 3)
	for unit, n := range map[courier.Unit]int64{
		courier.Requests: f.Requests, courier.PromptTokens: f.PromptTokens, courier.OutputTokens: f.OutputTokens,
	} {
		if n > 0 {
			counts[courier.Meter{Account: f.Account, Model: f.Model, Unit: unit}] = int(n)
		}
	}
	return counts
}

// FromMeters converts counts of meters to figures, in the order of client
// account and model.
func FromMeters(counts map[courier.Meter]int) []Figures {
	type accountModel struct{ account, model string }
	sums := make(map[accountModel]Figures)
	for m, n := range counts {
		key := accountModel{account: m.Account, model: m.Model}
		f := sums[key]
		f.Account, f.Model = m.Account, m.Model
		switch m.Unit {
		case courier.Requests:
			f.Requests += int64(n)
		case courier.PromptTokens:
			f.PromptTokens += int64(n)
		case courier.OutputTokens:
			f.OutputTokens += int64(n)
		}
		sums[key] = f
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b Figures) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Model, b.Model))
	})
}
