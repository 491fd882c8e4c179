// Package tree holds the settings tree: what the operators decided, made at
// any node and inherited below it.
//
// A Tree is immutable. Set returns a new Tree that shares all unchanged nodes
// with the old one, so that a reader may keep a *Tree for as long as it likes.
// The schema of the settings, with their types, bounds and defaults, is the
// result of Keys. A value is JSON; a duration is a string such as "500ms".
package tree
