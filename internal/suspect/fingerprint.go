package suspect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"samphireflow/internal/hostname"
)

// fingerprintVersion numbers the ways in which fingerprints were computed. Version 0 left out the caller.
const fingerprintVersion = 1

// Fingerprint is the xxHash64 of the parts by which requests differ for a backend server.
type Fingerprint uint64

// Identity holds what identifies a request beside its body. Callers send different requests even if all else is equal,
// because backend servers learn who calls. The route is no part of it: a configuration may rename it between two sends.
type Identity struct {
	// Caller is the service or the name of the caller. Customer is the customer whose key was checked.
	Caller   string
	Customer string
	Method   string
	// Host is empty where it does not choose the route; there it is the address of the node that was called.
	Host string
	// Target is the path with the query.
	Target string
}

// digest returns a hash of the identity, to which the body can be added.
func (i Identity) digest() *xxhash.Digest {
	hash := xxhash.New()
	var length [8]byte
	for _, part := range [...]string{i.Caller, i.Customer, i.Method, hostname.Canonical(i.Host), i.Target} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part)
	}
	return hash
}

// Fingerprint returns the fingerprint of the request with the given body.
func (i Identity) Fingerprint(body []byte) Fingerprint {
	hash := i.digest()
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum64())
}
