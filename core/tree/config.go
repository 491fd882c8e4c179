package tree

import (
	"fmt"
	"slices"
	"time"
)

// Config reads the effective settings of one node. Its accessors return the
// default of the schema for a key that no node sets. They panic if the schema
// does not have the key or gives it another type.
type Config struct {
	tree *Tree
	path Path
}

// Config returns the effective settings of the node at path.
func (tr *Tree) Config(path Path) Config { return Config{tree: tr, path: path} }

// Path returns the path of the node whose settings cfg reads.
func (cfg Config) Path() Path { return cfg.path }

// Bool returns the value of a key of TypeBool.
func (cfg Config) Bool(key string) bool { return read[bool](cfg, key) }

// Int returns the value of a key of TypeInt.
func (cfg Config) Int(key string) int { return read[int](cfg, key) }

// Float returns the value of a key of TypeFloat.
func (cfg Config) Float(key string) float64 { return read[float64](cfg, key) }

// Duration returns the value of a key of TypeDuration.
func (cfg Config) Duration(key string) time.Duration { return read[time.Duration](cfg, key) }

// String returns the value of a key of TypeString.
func (cfg Config) String(key string) string { return read[string](cfg, key) }

// Strings returns the value of a key of TypeStrings.
func (cfg Config) Strings(key string) []string { return slices.Clone(read[[]string](cfg, key)) }

func read[T any](cfg Config, key string) T {
	ent, _ := cfg.tree.resolve(cfg.path, key)
	val, ok := ent.value.(T)
	if !ok {
		panic(fmt.Sprintf("tree: setting %q read as %T, but it is %T", key, val, ent.value))
	}
	return val
}
