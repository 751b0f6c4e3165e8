package state

import (
	"crypto/sha256"

	apiv1 "samphireflow/api/v1"
)

// acceptedDocuments holds the number, base number and digest of every document that was ever accepted. It is not
// bounded, because a retry of an accepted document must be answered as accepted however late it comes. At 1,700 changes
// a day and about 100 bytes each, it grows by 60 MB a year, which a snapshot of the state can carry.
type acceptedDocuments struct {
	byKey map[documentKey]bool
	// order lists the documents in the order of their acceptance.
	order []*apiv1.AcceptedDocument
}

// documentKey identifies a document. It includes a digest of the content, because two operators may use the same number
// for different contents.
type documentKey struct {
	number, base uint64
	digest       [sha256.Size]byte
}

func newAcceptedDocuments(accepted []*apiv1.AcceptedDocument) *acceptedDocuments {
	d := &acceptedDocuments{byKey: make(map[documentKey]bool, len(accepted))}
	for _, one := range accepted {
		key := documentKey{number: one.Number, base: one.BaseNumber}
		copy(key.digest[:], one.Digest)
		d.add(key)
	}
	return d
}

func documentKeyOf(request *apiv1.PublishRequest, content []byte) documentKey {
	return documentKey{request.Number, request.BaseNumber, sha256.Sum256(content)}
}

func (d *acceptedDocuments) contains(key documentKey) bool {
	return d.byKey[key]
}

func (d *acceptedDocuments) add(key documentKey) {
	d.byKey[key] = true
	d.order = append(d.order, &apiv1.AcceptedDocument{Number: key.number, BaseNumber: key.base, Digest: key.digest[:]})
}

// list returns the accepted documents in the order of their acceptance.
func (d *acceptedDocuments) list() []*apiv1.AcceptedDocument {
	return d.order
}
