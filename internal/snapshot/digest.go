package snapshot

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// Digest returns the xxHash64 of the content of a snapshot. It covers the version and the term, but not the digest
// field.
func Digest(snap *apiv1.Snapshot) uint64 {
	hash := xxhash.New()
	options := proto.MarshalOptions{Deterministic: true}
	var buffer []byte
	add := func(message proto.Message) {
		// Marshalling cannot fail: these messages hold only scalars and messages, and no required fields.
		buffer, _ = options.MarshalAppend(buffer[:0], message)
		_, _ = hash.Write(buffer)
	}
	add(&apiv1.Snapshot{Version: snap.Version, Term: snap.Term, FailureDomain: snap.FailureDomain, Settings: snap.Settings})
	for _, service := range snap.Services {
		add(service)
	}
	for _, route := range snap.Routes {
		add(route)
	}
	for _, resource := range snap.Resources {
		add(resource)
	}
	for _, assignment := range snap.Assignments {
		add(assignment)
	}
	return hash.Sum64()
}
