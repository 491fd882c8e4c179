package site

import "cmp"

// Position is a position in a topic of the store. When the store comes back from
// an older copy of its content, it begins another era, in which it gives out the
// offsets of lost records again. So positions are ordered by the era first.
type Position struct {
	Era, Offset int64
}

// Compare returns a negative number if pos precedes other, zero if they are equal,
// and a positive number otherwise.
func (pos Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(pos.Era, other.Era), cmp.Compare(pos.Offset, other.Offset))
}

// Before reports whether pos precedes other.
func (pos Position) Before(other Position) bool { return pos.Compare(other) < 0 }

// offsetBits is the number of bits of an ordinal that hold the offset. Ordinals
// are also sent as JSON numbers, multiplied by 1<<16, which readers with 53 bits
// represent exactly up to era 2,047.
const offsetBits = 26

// Ordinal returns a positive number that rises with the position within an era, and
// with the era if it has fewer than 1<<26 records.
func (pos Position) Ordinal() int64 { return pos.Era<<offsetBits + pos.Offset + 1 }
