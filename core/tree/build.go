package tree

import "kumquathinge/core"

// Builder makes a Tree node by node, for a state that is read back. It must
// not be used after Tree was called.
type Builder struct {
	tree *Tree
}

// NewBuilder returns a Builder of an empty tree.
func NewBuilder() *Builder { return &Builder{tree: New()} }

// AddNode adds a node with its version.
func (b *Builder) AddNode(path Path, version core.Offset) {
	b.tree.nodes[path] = &node{version: version}
}

// SetValue sets a key of a node that was added. The error is that of Validate.
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
