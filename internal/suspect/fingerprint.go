package suspect

import (
	"github.com/cespare/xxhash/v2"
)

// Fingerprint is the xxHash64 of the parts that identify a request: route, method, path with query, and body.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(route, method, uri string, body []byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range [...]string{route, method, uri} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}
