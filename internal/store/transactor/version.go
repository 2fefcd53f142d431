package transactor

import "strconv"

// Version is the place of a commit in the history of the store: an era and a number.
//
// The number grows with each commit. A store that comes back from an older copy gives
// numbers out again, for other commits, and begins an era; so a number alone is no order.
// Versions are compared as integers: a later era is greater, whatever the numbers. The zero
// value comes before all commits.
type Version uint64

// numberBits is the width of the number in a version; the rest is the era.
const numberBits = 48

// NewVersion returns the version with a number in an era, which is 0 for a store that has
// none.
func NewVersion(era, number uint64) Version {
	return Version(era<<numberBits | number&(1<<numberBits-1))
}

// MaxEra is the greatest era that a version can have.
const MaxEra = 1<<(64-numberBits) - 1

// Era returns the era.
func (v Version) Era() uint64 { return uint64(v >> numberBits) }

// Number returns the number within the era.
func (v Version) Number() uint64 { return uint64(v) & (1<<numberBits - 1) }

// String returns the number, after the era if there is one.
func (v Version) String() string {
	number := strconv.FormatUint(v.Number(), 10)
	if v.Era() == 0 {
		return number
	}
	return strconv.FormatUint(v.Era(), 10) + "/" + number
}
