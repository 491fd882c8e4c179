package tree

import "kumquathinge/core"

// Builder makes a Tree node by node, for a state that is read back. It must
// not be used after Tree was called.
type Builder struct {
	tre *Tree
}

// NewBuilder returns a Builder of an empty tree.
func NewBuilder() *Builder { return &Builder{tre: New()} }

// Node adds a node with its version.
func (bld *Builder) Node(pth Path, ver core.Offset) { bld.tre.nodes[pth] = &node{version: ver} }

// Value sets a key of a node that was added. The error is that of Validate.
func (bld *Builder) Value(pth Path, key string, raw []byte, at core.Offset) error {
	err := Validate(pth, key, raw)
	if err != nil {
		return err
	}
	if raw == nil {
		return core.Errorf(core.CodeSettingInvalid, "%s: %s has no value", pth, key)
	}
	nod := bld.tre.nodes[pth]
	if _, ok := nod.find(key); ok {
		return core.Errorf(core.CodeSettingInvalid, "%s: %s stands twice", pth, key)
	}
	nod.insert(newSlot(key, raw, at))
	return nil
}

// Tree returns the tree.
func (bld *Builder) Tree() *Tree { return bld.tre }
