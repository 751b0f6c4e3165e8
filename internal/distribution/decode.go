package distribution

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/snapshot"
)

// ErrMalformedResponse is wrapped by the errors of Decode about answers that cannot be read.
var ErrMalformedResponse = errors.New("unreadable answer")

// Decode returns the checked snapshot that a watch's answer leads to from the current one, nil when the answer
// carries none. On an error it also returns the version that is refused, 0 when that cannot be read.
func Decode(current *apiv1.Snapshot, response *apiv1.WatchResponse) (*apiv1.Snapshot, uint64, error) {
	switch {
	case len(response.Delta) > 0:
		return decodeDelta(current, response.Delta)
	case len(response.Snapshot) > 0:
		return decodeSnapshot(response.Snapshot)
	}
	return nil, 0, nil
}

// unmarshal unpacks and decodes a part of an answer.
func unmarshal(data []byte, into proto.Message) error {
	unpacked, err := packed.Unpack(data)
	if err != nil {
		return err
	}
	return proto.Unmarshal(unpacked, into)
}

func decodeDelta(current *apiv1.Snapshot, data []byte) (*apiv1.Snapshot, uint64, error) {
	delta := &apiv1.Delta{}
	if err := unmarshal(data, delta); err != nil {
		return nil, 0, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	if current == nil {
		return nil, delta.Version, errors.Wrap(ErrMalformedResponse, "a delta without a version to start from")
	}
	next, err := snapshot.Apply(current, delta)
	if err != nil {
		return nil, delta.Version, err
	}
	return next, delta.Version, nil
}

func decodeSnapshot(data []byte) (*apiv1.Snapshot, uint64, error) {
	next := &apiv1.Snapshot{}
	if err := unmarshal(data, next); err != nil {
		return nil, 0, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	if err := snapshot.Check(next); err != nil {
		return nil, next.Version, err
	}
	return next, next.Version, nil
}

// DecodeMembers reads the members of a watch's answer.
func DecodeMembers(data []byte) (*apiv1.MembersUpdate, error) {
	update := &apiv1.MembersUpdate{}
	if err := unmarshal(data, update); err != nil {
		return nil, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	return update, nil
}
