package core

import (
	"cmp"
	"slices"
)

// Set is a set of ordered values. The zero value is an empty, read-only set;
// NewSet returns a writable one.
type Set[T cmp.Ordered] struct {
	vals map[T]struct{}
}

// NewSet returns a writable set that contains vals.
func NewSet[T cmp.Ordered](vals ...T) Set[T] {
	set := Set[T]{vals: make(map[T]struct{}, len(vals))}
	for _, val := range vals {
		set.vals[val] = struct{}{}
	}
	return set
}

// Add inserts val. It panics on the zero Set.
func (set Set[T]) Add(val T) { set.vals[val] = struct{}{} }

// Remove deletes val if it is present.
func (set Set[T]) Remove(val T) { delete(set.vals, val) }

// Has reports whether the set contains val.
func (set Set[T]) Has(val T) bool {
	_, ok := set.vals[val]
	return ok
}

// Len returns the number of values in the set.
func (set Set[T]) Len() int { return len(set.vals) }

// Sorted returns the values in ascending order.
func (set Set[T]) Sorted() []T {
	out := make([]T, 0, len(set.vals))
	for val := range set.vals {
		out = append(out, val)
	}
	slices.Sort(out)
	return out
}

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	val T
	ok  bool
}

// Some returns an Option that holds val.
func Some[T any](val T) Option[T] { return Option[T]{val: val, ok: true} }

// None returns an Option without a value.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value and whether it is present.
func (opt Option[T]) Get() (T, bool) { return opt.val, opt.ok }

// Or returns the value if present, and alt otherwise.
func (opt Option[T]) Or(alt T) T {
	if opt.ok {
		return opt.val
	}
	return alt
}
