package enginestandin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the i-th token (from zero) of the answer to a prompt. Every
// token depends on the whole prompt and on i, so that a mixed-up, lost or
// repeated token shows.
func Token(prompt string, i int) string { return token(xxhash.Sum64String(prompt), i) }

// Text returns the whole answer of n tokens to a prompt.
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
// prompt: one for each four bytes begun.
func PromptTokens(prompt string) int { return (len(prompt) + 3) / 4 }

// prefixBytes is how much of a prompt its prefix id covers.
const prefixBytes = 256

// Prefix returns the id under which the engine's cache events name the start
// of a prompt: the xxhash64 of its first 256 bytes.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}
