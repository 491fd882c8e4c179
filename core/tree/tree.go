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

// OriginDefault is the origin of a value that no node sets.
const OriginDefault Path = "default"

var printer = message.NewPrinter(language.English)

// Value is the value of one key as seen from a node. Origin is the node that
// sets it, and Version the offset at which that node set it.
type Value struct {
	Key     string
	Raw     json.RawMessage
	Origin  Path
	Version core.Offset
}

type slot struct {
	key string
	raw []byte
	val any
	at  core.Offset
}

type node struct {
	version core.Offset
	slots   []slot
}

// Tree is an immutable settings tree. Its methods may be called from several
// goroutines.
type Tree struct {
	nodes map[Path]*node
}

var defaults = parseDefaults()

func parseDefaults() map[string]slot {
	out := make(map[string]slot, len(keys))
	for idx := range keys {
		key := &keys[idx]
		val, err := parse(key, []byte(key.Default))
		if err != nil {
			panic(err)
		}
		out[key.Name] = slot{key: key.Name, raw: []byte(key.Default), val: val}
	}
	return out
}

// New returns an empty tree, in which every key has its default.
func New() *Tree { return &Tree{nodes: map[Path]*node{}} }

// Set returns a tree in which path sets key to raw, or no longer sets it if
// raw is nil; the version of the node becomes at. Set panics if Validate
// returns an error for its arguments.
func (tre *Tree) Set(pth Path, key string, raw []byte, at core.Offset) *Tree {
	err := Validate(pth, key, raw)
	if err != nil {
		panic(err)
	}
	old := tre.nodes[pth]
	nod := &node{version: at}
	if old != nil {
		nod.slots = slices.DeleteFunc(slices.Clone(old.slots), func(slo slot) bool { return slo.key == key })
	}
	if raw != nil {
		nod.insert(newSlot(key, raw, at))
	}
	out := &Tree{nodes: maps.Clone(tre.nodes)}
	out.nodes[pth] = nod
	return out
}

func newSlot(key string, raw []byte, at core.Offset) slot {
	val, err := parse(keyIndex[key], raw)
	if err != nil {
		panic(err)
	}
	var buf bytes.Buffer
	err = json.Compact(&buf, raw)
	if err != nil {
		panic(err)
	}
	return slot{key: key, raw: buf.Bytes(), val: val, at: at}
}

func (nod *node) insert(slo slot) {
	idx := sort.Search(len(nod.slots), func(pos int) bool { return nod.slots[pos].key >= slo.key })
	nod.slots = slices.Insert(nod.slots, idx, slo)
}

func (nod *node) find(key string) (slot, bool) {
	idx := sort.Search(len(nod.slots), func(pos int) bool { return nod.slots[pos].key >= key })
	if idx == len(nod.slots) || nod.slots[idx].key != key {
		return slot{}, false
	}
	return nod.slots[idx], true
}

// resolve returns the slot that is in force at path and the node that sets it.
func (tre *Tree) resolve(pth Path, key string) (slot, Path) {
	for cur, ok := pth, true; ok; cur, ok = cur.Parent() {
		nod := tre.nodes[cur]
		if nod == nil {
			continue
		}
		if slo, has := nod.find(key); has {
			return slo, cur
		}
	}
	return defaults[key], OriginDefault
}

// Lookup returns the value of key that is in force at path: the node's own, or
// else that of the nearest node above that sets it. It returns false if none
// does or the schema has no such key.
func (tre *Tree) Lookup(pth Path, key string) (Value, bool) {
	slo, org := tre.resolve(pth, key)
	if org == OriginDefault {
		return Value{}, false
	}
	return slo.value(org), true
}

func (slo slot) value(org Path) Value {
	return Value{Key: slo.key, Raw: slices.Clone(slo.raw), Origin: org, Version: slo.at}
}

// Own returns the values that the node itself sets, by key.
func (tre *Tree) Own(pth Path) []Value {
	nod := tre.nodes[pth]
	if nod == nil {
		return nil
	}
	out := make([]Value, 0, len(nod.slots))
	for _, slo := range nod.slots {
		out = append(out, slo.value(pth))
	}
	return out
}

// Effective returns the values of all keys that may be set at path, in the
// order of the schema, each with its origin; a default has OriginDefault. It
// returns nil for a path of no known shape.
func (tre *Tree) Effective(pth Path) []Value {
	plc, err := pth.Place()
	if err != nil {
		return nil
	}
	out := make([]Value, 0, len(keys))
	for idx := range keys {
		if !slices.Contains(keys[idx].Where, plc) {
			continue
		}
		slo, org := tre.resolve(pth, keys[idx].Name)
		out = append(out, slo.value(org))
	}
	return out
}

// Version returns the offset of the last change at the node, zero if none.
func (tre *Tree) Version(pth Path) core.Offset {
	if nod := tre.nodes[pth]; nod != nil {
		return nod.version
	}
	return 0
}

// Paths returns the paths of all nodes that were ever changed, sorted.
func (tre *Tree) Paths() []Path { return slices.Sorted(maps.Keys(tre.nodes)) }

// Children returns the paths of the changed nodes that inherit directly from
// the node, sorted. A group's node stands below its model's even if the model
// sets nothing.
func (tre *Tree) Children(pth Path) []Path {
	var out []Path
	for cur := range tre.nodes {
		if par, ok := cur.Parent(); ok && par == pth {
			out = append(out, cur)
		}
	}
	slices.Sort(out)
	return out
}
