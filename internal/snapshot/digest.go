package snapshot

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// Digester computes the digests of successive versions of a snapshot. It keeps the encodings of entities, so that only
// those of changed entities are computed for a version. Entities must not be modified. The zero value is ready; a Digester
// is not safe for concurrent use.
type Digester struct {
	encodings map[proto.Message][]byte
}

// Digest returns the xxHash64 of the content of a snapshot. It covers the version and the term, but not the digest
// field.
func Digest(snap *apiv1.Snapshot) uint64 {
	return (&Digester{}).Digest(snap)
}

// Digest returns the same as the function Digest.
func (d *Digester) Digest(snap *apiv1.Snapshot) uint64 {
	entities := len(snap.Services) + len(snap.Routes) + len(snap.Resources) + len(snap.Customers)
	// Starts over once more than half of the encodings belong to entities of older versions.
	if d.encodings == nil || len(d.encodings) > 2*entities+minKeptEncodings {
		d.encodings = make(map[proto.Message][]byte, entities)
	}
	hash := xxhash.New()
	add := func(encoding []byte) { _, _ = hash.Write(encoding) }
	add(encode(&apiv1.Snapshot{Version: snap.Version, Term: snap.Term, FailureDomain: snap.FailureDomain, Settings: snap.Settings, EvacuatedDomains: snap.EvacuatedDomains}))
	for _, service := range snap.Services {
		add(d.encoding(service))
	}
	for _, route := range snap.Routes {
		add(d.encoding(route))
	}
	for _, resource := range snap.Resources {
		add(d.encoding(resource))
	}
	for _, customer := range snap.Customers {
		add(d.encoding(customer))
	}
	for _, assignment := range snap.Assignments {
		add(encode(assignment))
	}
	return hash.Sum64()
}

// minKeptEncodings is the number of encodings that a Digester keeps for a snapshot of any size.
const minKeptEncodings = 64

func (d *Digester) encoding(entity proto.Message) []byte {
	encoding, ok := d.encodings[entity]
	if !ok {
		encoding = encode(entity)
		d.encodings[entity] = encoding
	}
	return encoding
}

func encode(message proto.Message) []byte {
	// Marshalling cannot fail: these messages hold only scalars and messages, and no required fields.
	encoding, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return encoding
}
