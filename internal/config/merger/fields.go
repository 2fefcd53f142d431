package merger

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// setter returns v with one field set from text, or an error for invalid text.
type setter[T any] func(v T, text string) (T, error)

// field describes one key of a section: the unit of its value, the allowed
// values, and how to set it.
type field[T any] struct {
	unit    string
	allowed string
	set     setter[T]
}

// fields maps the keys of a section to their fields.
type fields[T any] map[string]field[T]

// formatRange returns a range as docs/configuration.md writes it.
func formatRange(low, high any) string { return fmt.Sprintf("%v to %v", low, high) }

func integer[T any](low, high int, set func(*T, int)) field[T] {
	return field[T]{"whole number", formatRange(low, high), func(v T, text string) (T, error) {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return v, fmt.Errorf("%q is not a whole number from %d to %d", text, low, high)
		}
		set(&v, n)
		return v, nil
	}}
}

func decimal[T any](low, high float64, set func(*T, float64)) field[T] {
	return field[T]{"number", formatRange(low, high), func(v T, text string) (T, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f >= low && f <= high) {
			return v, fmt.Errorf("%q is not a number from %g to %g", text, low, high)
		}
		set(&v, f)
		return v, nil
	}}
}

func duration[T any](low, high time.Duration, set func(*T, time.Duration)) field[T] {
	return field[T]{"duration", formatRange(formatDuration(low), formatDuration(high)), func(v T, text string) (T, error) {
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return v, fmt.Errorf("%q is not a duration with a unit from %s to %s, such as 250ms", text, formatDuration(low), formatDuration(high))
		}
		set(&v, d)
		return v, nil
	}}
}

// formatDuration formats a duration without units that are 0: 1m, not 1m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// size is a number of bytes with an optional unit KiB or MiB.
func size[T any](low, high int64, set func(*T, int64)) field[T] {
	return field[T]{"size", formatRange(formatSize(low), formatSize(high)), func(v T, text string) (T, error) {
		n, err := parseSize(text)
		if err != nil || n < low || n > high {
			return v, fmt.Errorf("%q is not a size in bytes from %s to %s, such as 64KiB", text, formatSize(low), formatSize(high))
		}
		set(&v, n)
		return v, nil
	}}
}

func formatSize(n int64) string {
	switch {
	case n >= 1<<20 && n%(1<<20) == 0:
		return fmt.Sprintf("%dMiB", n>>20)
	case n >= 1<<10 && n%(1<<10) == 0:
		return fmt.Sprintf("%dKiB", n>>10)
	}
	return strconv.FormatInt(n, 10)
}

func parseSize(text string) (int64, error) {
	unit := int64(1)
	if s, ok := strings.CutSuffix(text, "KiB"); ok {
		text, unit = s, 1<<10
	} else if s, ok := strings.CutSuffix(text, "MiB"); ok {
		text, unit = s, 1<<20
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if n > (1<<62)/unit {
		return 0, errors.New("too large")
	}
	return n * unit, nil
}

func text[T any](set func(*T, string)) field[T] {
	return field[T]{"text", "", func(v T, s string) (T, error) {
		if s == "" {
			return v, errors.New("the value is empty")
		}
		set(&v, s)
		return v, nil
	}}
}

func list[T any](set func(*T, []string)) field[T] {
	return field[T]{"list", "", func(v T, s string) (T, error) {
		var items []string
		seen := make(map[string]bool)
		for item := range strings.SplitSeq(s, ",") {
			item = strings.TrimSpace(item)
			if item == "" {
				return v, fmt.Errorf("%q has an empty item", s)
			}
			if seen[item] {
				return v, fmt.Errorf("%q has the item %s twice", s, item)
			}
			seen[item] = true
			items = append(items, item)
		}
		set(&v, items)
		return v, nil
	}}
}

func choice[T any, S ~string](set func(*T, S), options ...S) field[T] {
	words := make([]string, len(options))
	for i, o := range options {
		words[i] = string(o)
	}
	return field[T]{"word", strings.Join(words, ", "), func(v T, s string) (T, error) {
		for _, o := range options {
			if string(o) == s {
				set(&v, o)
				return v, nil
			}
		}
		return v, fmt.Errorf("%q is not one of %v", s, options)
	}}
}

func hash[T any](set func(*T, [32]byte)) field[T] {
	return field[T]{"hash", "", func(v T, s string) (T, error) {
		var h [32]byte
		digits, ok := strings.CutPrefix(s, "sha256:")
		if !ok || len(digits) != hex.EncodedLen(len(h)) {
			return v, errors.New(`the hash must be "sha256:" and 64 hexadecimal digits`)
		}
		if _, err := hex.Decode(h[:], []byte(digits)); err != nil {
			return v, errors.New(`the hash must be "sha256:" and 64 hexadecimal digits`)
		}
		set(&v, h)
		return v, nil
	}}
}
