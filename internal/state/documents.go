package state

import (
	"crypto/sha256"

	apiv1 "samphireflow/api/v1"
)

// documents remembers every accepted document by number, base and digest, without a bound: a resend is answered for
// good. At 1,700 changes a day and some 100 bytes each they take 60 MB a year, which a snapshot of the state can carry.
type documents struct {
	byKey map[documentKey]bool
	order []*apiv1.AcceptedDocument
}

// documentKey is the identity of a document: two operators may use one number for different contents.
type documentKey struct {
	number, base uint64
	digest       [sha256.Size]byte
}

func newDocuments(accepted []*apiv1.AcceptedDocument) *documents {
	d := &documents{byKey: make(map[documentKey]bool, len(accepted))}
	for _, one := range accepted {
		key := documentKey{number: one.Number, base: one.BaseNumber}
		copy(key.digest[:], one.Digest)
		d.add(key)
	}
	return d
}

func keyOf(request *apiv1.PublishRequest, content []byte) documentKey {
	return documentKey{request.Number, request.BaseNumber, sha256.Sum256(content)}
}

func (d *documents) accepted(key documentKey) bool {
	return d.byKey[key]
}

func (d *documents) add(key documentKey) {
	d.byKey[key] = true
	d.order = append(d.order, &apiv1.AcceptedDocument{Number: key.number, BaseNumber: key.base, Digest: key.digest[:]})
}

// list returns the accepted documents in the order of their acceptance.
func (d *documents) list() []*apiv1.AcceptedDocument {
	return d.order
}
