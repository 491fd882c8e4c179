package stand

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the number of generated tokens if the request sets no limit.
const DefaultMaxTokens = 16

// BlockBytes is the length of a prefix cache block of a prompt, in bytes.
const BlockBytes = 256

// Tokens returns the limit tokens that an engine generates for prompt. Different
// prompts have different tokens. If limit is not positive, DefaultMaxTokens is
// used.
func Tokens(prompt string, limit int) []string {
	if limit <= 0 {
		limit = DefaultMaxTokens
	}
	sum := xxhash.Sum64String(prompt)
	out := make([]string, limit)
	for pos := range out {
		out[pos] = fmt.Sprintf("%08x.%d ", uint32(sum), pos)
	}
	return out
}

// Answer returns the complete text that an engine generates for prompt. limit is
// that of Tokens.
func Answer(prompt string, limit int) string {
	return strings.Join(Tokens(prompt, limit), "")
}

// Blocks returns the hashes of the prefixes of prompt whose length is a multiple of
// BlockBytes, in order of length.
func Blocks(prompt string) []uint64 {
	var out []uint64
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		out = append(out, xxhash.Sum64String(prompt[:end]))
	}
	return out
}
