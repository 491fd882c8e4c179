package tree

import "kumquathinge/core"

// Builder builds a Tree node by node from a decoded state. It must not be used
// after Tree was called.
type Builder struct {
	tree *Tree
}

// NewBuilder returns a Builder with an empty tree.
func NewBuilder() *Builder { return &Builder{tree: New()} }

// AddNode adds a node with its version and without values.
func (b *Builder) AddNode(path Path, version core.Offset) {
	b.tree.nodes[path] = &node{version: version}
}

// SetValue sets a key of a node that was added with AddNode. The version of the
// value is offset. SetValue returns the errors of Validate, and an error with
// core.CodeSettingInvalid if raw is nil or the key is already set.
func (b *Builder) SetValue(path Path, key string, raw []byte, offset core.Offset) error {
	err := Validate(path, key, raw)
	if err != nil {
		return err
	}
	if raw == nil {
		return core.Errorf(core.CodeSettingInvalid, "%s: %s has no value", path, key)
	}
	n := b.tree.nodes[path]
	if _, ok := n.find(key); ok {
		return core.Errorf(core.CodeSettingInvalid, "%s: %s stands twice", path, key)
	}
	n.insert(newEntry(key, raw, offset))
	return nil
}

// Tree returns the tree.
func (b *Builder) Tree() *Tree { return b.tree }
