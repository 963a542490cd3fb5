package enginestandin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the i-th token (counted from zero) of the answer to a prompt.
// Each token depends on the whole prompt and on i, so that a client detects
// tokens that are lost, repeated, out of order or from another answer.
func Token(prompt string, i int) string { return token(xxhash.Sum64String(prompt), i) }

// Text returns the complete answer of n tokens to a prompt.
func Text(prompt string, n int) string {
	seed := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

func token(seed uint64, i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64(key[:])))
}

// PromptTokens returns the number of tokens that the stand-in counts in a
// prompt: one per four bytes, rounded up.
func PromptTokens(prompt string) int { return (len(prompt) + 3) / 4 }

// prefixLength is the number of bytes of a prompt that its prefix ID covers.
const prefixLength = 256

// PrefixID returns the ID of the start of a prompt in the engine's cache events:
// the xxhash64 of its first 256 bytes.
func PrefixID(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixLength)])
}
