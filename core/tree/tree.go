package tree

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"kumquathinge/core"
)

// OriginDefault is the origin of a default, which no node sets.
const OriginDefault Path = "default"

var printer = message.NewPrinter(language.English)

// Value is the value of a key at a node. Origin is the node that sets it, and
// Version the log offset of the record that set it there.
type Value struct {
	Key     string
	Raw     json.RawMessage
	Origin  Path
	Version core.Offset
}

type entry struct {
	key     string
	raw     []byte
	value   any
	version core.Offset
}

type node struct {
	version core.Offset
	entries []entry
}

// Tree is an immutable settings tree. It is safe for concurrent use.
type Tree struct {
	nodes map[Path]*node
}

var defaults = parseDefaults()

func parseDefaults() map[string]entry {
	out := make(map[string]entry, len(keys))
	for idx := range keys {
		key := &keys[idx]
		val, err := parse(key, []byte(key.Default))
		if err != nil {
			panic(err)
		}
		out[key.Name] = entry{key: key.Name, raw: []byte(key.Default), value: val}
	}
	return out
}

// New returns an empty tree, in which all keys have their defaults.
func New() *Tree { return &Tree{nodes: map[Path]*node{}} }

// Set returns a tree in which the node at path sets key to raw, or no longer
// sets it if raw is nil. The version of the node becomes offset. Set panics if
// Validate returns an error for its arguments.
func (tr *Tree) Set(path Path, key string, raw []byte, offset core.Offset) *Tree {
	err := Validate(path, key, raw)
	if err != nil {
		panic(err)
	}
	old := tr.nodes[path]
	n := &node{version: offset}
	if old != nil {
		n.entries = slices.DeleteFunc(slices.Clone(old.entries), func(ent entry) bool { return ent.key == key })
	}
	if raw != nil {
		n.insert(newEntry(key, raw, offset))
	}
	out := &Tree{nodes: maps.Clone(tr.nodes)}
	out.nodes[path] = n
	return out
}

func newEntry(key string, raw []byte, offset core.Offset) entry {
	val, err := parse(keyByName[key], raw)
	if err != nil {
		panic(err)
	}
	var buf bytes.Buffer
	err = json.Compact(&buf, raw)
	if err != nil {
		panic(err)
	}
	return entry{key: key, raw: buf.Bytes(), value: val, version: offset}
}

func (n *node) insert(ent entry) {
	idx := sort.Search(len(n.entries), func(pos int) bool { return n.entries[pos].key >= ent.key })
	n.entries = slices.Insert(n.entries, idx, ent)
}

func (n *node) find(key string) (entry, bool) {
	idx := sort.Search(len(n.entries), func(pos int) bool { return n.entries[pos].key >= key })
	if idx == len(n.entries) || n.entries[idx].key != key {
		return entry{}, false
	}
	return n.entries[idx], true
}

// resolve returns the effective entry of key at path and the node that sets it.
func (tr *Tree) resolve(path Path, key string) (entry, Path) {
	for cur, ok := path, true; ok; cur, ok = cur.Parent() {
		n := tr.nodes[cur]
		if n == nil {
			continue
		}
		if ent, ok := n.find(key); ok {
			return ent, cur
		}
	}
	return defaults[key], OriginDefault
}

// Lookup returns the effective value of key at path: the node's own value, or
// that of the nearest ancestor that sets the key. It returns false if no node
// sets it or the schema does not have the key.
func (tr *Tree) Lookup(path Path, key string) (Value, bool) {
	ent, origin := tr.resolve(path, key)
	if origin == OriginDefault {
		return Value{}, false
	}
	return ent.toValue(origin), true
}

func (ent entry) toValue(origin Path) Value {
	return Value{Key: ent.key, Raw: slices.Clone(ent.raw), Origin: origin, Version: ent.version}
}

// OwnValues returns the values that the node itself sets, sorted by key.
func (tr *Tree) OwnValues(path Path) []Value {
	n := tr.nodes[path]
	if n == nil {
		return nil
	}
	out := make([]Value, 0, len(n.entries))
	for _, ent := range n.entries {
		out = append(out, ent.toValue(path))
	}
	return out
}

// EffectiveValues returns the effective values of all keys that may be set at
// path, in the order of the schema. The origin of a default is OriginDefault.
// It returns nil for an invalid path.
func (tr *Tree) EffectiveValues(path Path) []Value {
	kind, err := path.Kind()
	if err != nil {
		return nil
	}
	out := make([]Value, 0, len(keys))
	for idx := range keys {
		if !slices.Contains(keys[idx].AllowedAt, kind) {
			continue
		}
		ent, origin := tr.resolve(path, keys[idx].Name)
		out = append(out, ent.toValue(origin))
	}
	return out
}

// Version returns the offset of the last change at the node, zero if it was
// never changed.
func (tr *Tree) Version(path Path) core.Offset {
	if n := tr.nodes[path]; n != nil {
		return n.version
	}
	return 0
}

// Paths returns the sorted paths of all nodes that were ever changed.
func (tr *Tree) Paths() []Path { return slices.Sorted(maps.Keys(tr.nodes)) }

// Children returns the sorted paths of the changed nodes that inherit directly
// from the node. A group's parent is its model's node even if that node was
// never changed.
func (tr *Tree) Children(path Path) []Path {
	var out []Path
	for cur := range tr.nodes {
		if parent, ok := cur.Parent(); ok && parent == path {
			out = append(out, cur)
		}
	}
	slices.Sort(out)
	return out
}
