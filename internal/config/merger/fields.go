package merger

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// setter returns v with one field set from text, or says what is wrong.
type setter[T any] func(v T, text string) (T, error)

// fields maps the keys of a section to their setters.
type fields[T any] map[string]setter[T]

func number[T any](low, high int, set func(*T, int)) setter[T] {
	return func(v T, text string) (T, error) {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return v, fmt.Errorf("%q is not a whole number from %d to %d", text, low, high)
		}
		set(&v, n)
		return v, nil
	}
}

func fraction[T any](low, high float64, set func(*T, float64)) setter[T] {
	return func(v T, text string) (T, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f >= low && f <= high) {
			return v, fmt.Errorf("%q is not a number from %g to %g", text, low, high)
		}
		set(&v, f)
		return v, nil
	}
}

func duration[T any](low, high time.Duration, set func(*T, time.Duration)) setter[T] {
	return func(v T, text string) (T, error) {
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return v, fmt.Errorf("%q is not a duration with a unit from %v to %v, such as 250ms", text, low, high)
		}
		set(&v, d)
		return v, nil
	}
}

// size reads bytes with an optional unit KiB or MiB.
func size[T any](low, high int64, set func(*T, int64)) setter[T] {
	return func(v T, text string) (T, error) {
		n, err := parseSize(text)
		if err != nil || n < low || n > high {
			return v, fmt.Errorf("%q is not a size from %d to %d bytes, such as 64KiB", text, low, high)
		}
		set(&v, n)
		return v, nil
	}
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

func text[T any](set func(*T, string)) setter[T] {
	return func(v T, s string) (T, error) {
		if s == "" {
			return v, errors.New("the value is empty")
		}
		set(&v, s)
		return v, nil
	}
}

func list[T any](set func(*T, []string)) setter[T] {
	return func(v T, s string) (T, error) {
		var items []string
		for item := range strings.SplitSeq(s, ",") {
			item = strings.TrimSpace(item)
			if item == "" {
				return v, fmt.Errorf("%q has an empty item", s)
			}
			items = append(items, item)
		}
		set(&v, items)
		return v, nil
	}
}

func choice[T any, S ~string](set func(*T, S), options ...S) setter[T] {
	return func(v T, s string) (T, error) {
		for _, o := range options {
			if string(o) == s {
				set(&v, o)
				return v, nil
			}
		}
		return v, fmt.Errorf("%q is not one of %v", s, options)
	}
}

func hash[T any](set func(*T, [32]byte)) setter[T] {
	return func(v T, s string) (T, error) {
		var h [32]byte
		digits, ok := strings.CutPrefix(s, "sha256:")
		if !ok || len(digits) != hex.EncodedLen(len(h)) {
			return v, errors.New("not sha256: and 64 hexadecimal digits")
		}
		if _, err := hex.Decode(h[:], []byte(digits)); err != nil {
			return v, errors.New("not sha256: and 64 hexadecimal digits")
		}
		set(&v, h)
		return v, nil
	}
}
