package customer

import (
	"crypto/sha256"
	"encoding/hex"
)

// digestBytes is the length of a digest. 128 bits make it infeasible to find a key for a digest.
const digestBytes = 16

// Digest identifies a key without revealing it: SHA-256, truncated to 128 bits.
type Digest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:digestBytes])
}

// String returns the digest as 32 hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// ParseDigest parses the text form of a digest. It returns false for any other text.
func ParseDigest(text string) (Digest, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return Digest{}, false
	}
	return Digest(raw), true
}
