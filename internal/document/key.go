package document

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// KeyDigest is the SHA-256 digest of a bearer key.
type KeyDigest [sha256.Size]byte

const keyPrefix = "sha256:"

// DigestKey returns the digest of a bearer key.
func DigestKey(bearer string) KeyDigest { return sha256.Sum256([]byte(bearer)) }

// HashKey returns a bearer key in the format used in documents: "sha256:" and 64
// lower-case hexadecimal digits. Bearer keys must be random (128 bits or more),
// because the digest of a guessable key can be found by brute force.
func HashKey(bearer string) string {
	digest := DigestKey(bearer)
	return keyPrefix + hex.EncodeToString(digest[:])
}

// ParseKey decodes a key in the format of HashKey.
func ParseKey(key string) (KeyDigest, bool) {
	var digest KeyDigest
	digits, found := strings.CutPrefix(key, keyPrefix)
	if !found || len(digits) != hex.EncodedLen(len(digest)) || digits != strings.ToLower(digits) {
		return digest, false
	}
	_, err := hex.Decode(digest[:], []byte(digits))
	return digest, err == nil
}
