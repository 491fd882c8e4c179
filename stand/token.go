package stand

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length of an answer whose request states none.
const DefaultMaxTokens = 16

// BlockBytes is the length of a prefix block of a prompt.
const BlockBytes = 256

// Tokens returns the tokens that an engine answers to prompt. Two prompts
// have different tokens. If limit is not positive, DefaultMaxTokens is used.
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

// Answer returns the whole text that an engine answers to prompt.
func Answer(prompt string, limit int) string {
	return strings.Join(Tokens(prompt, limit), "")
}

// Blocks returns the hashes of the prefixes of prompt that are a multiple of
// BlockBytes long, the longest last.
func Blocks(prompt string) []uint64 {
	var out []uint64
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		out = append(out, xxhash.Sum64String(prompt[:end]))
	}
	return out
}
