package snapshot

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// Digest returns the xxHash64 of a snapshot's content. Version and term are part of it, the digest field is not.
func Digest(snap *apiv1.Snapshot) uint64 {
	hash := xxhash.New()
	options := proto.MarshalOptions{Deterministic: true}
	var buffer []byte
	add := func(message proto.Message) {
		// Marshalling a message of scalars and messages without required fields cannot fail.
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
