// Package tree implements the settings tree: the settings that operators have
// changed, each at a node of the tree and inherited by the nodes below it.
//
// A Tree is immutable. Set returns a new Tree that shares all unchanged nodes
// with the old one, so a reader may keep a *Tree indefinitely. Keys returns the
// schema of the settings with their types, limits and defaults. Values are
// encoded as JSON; a duration is a string such as "500ms".
package tree
