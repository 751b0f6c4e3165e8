package distribution

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/snapshot"
)

// ErrMalformedResponse is wrapped by the errors of Decode and DecodeMembers about data that cannot be decoded.
var ErrMalformedResponse = errors.New("unreadable answer")

// UpdateResponse is a response that may carry a packed snapshot or a packed delta.
type UpdateResponse interface {
	GetSnapshot() []byte
	GetDelta() []byte
}

// Decode applies the configuration in a response to the current snapshot and returns the validated next snapshot,
// nil when the response carries no configuration. It also returns the version in the response, 0 when the response carries
// none or it cannot be decoded; on an error this is the refused version. The digester is kept between calls.
func Decode(digester *snapshot.Digester, current *apiv1.Snapshot, response UpdateResponse) (*apiv1.Snapshot, uint64, error) {
	switch delta, whole := response.GetDelta(), response.GetSnapshot(); {
	case len(delta) > 0:
		return decodeDelta(digester, current, delta)
	case len(whole) > 0:
		return decodeSnapshot(digester, whole)
	}
	return nil, 0, nil
}

// unmarshal unpacks and decodes one packed message of a response.
func unmarshal(data []byte, into proto.Message) error {
	unpacked, err := packed.Unpack(data)
	if err != nil {
		return err
	}
	return proto.Unmarshal(unpacked, into)
}

func decodeDelta(digester *snapshot.Digester, current *apiv1.Snapshot, data []byte) (*apiv1.Snapshot, uint64, error) {
	delta := &apiv1.Delta{}
	if err := unmarshal(data, delta); err != nil {
		return nil, 0, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	if current == nil {
		return nil, delta.Version, errors.Wrap(ErrMalformedResponse, "a delta without a version to start from")
	}
	next, err := digester.Apply(current, delta)
	if err != nil {
		return nil, delta.Version, err
	}
	return next, delta.Version, nil
}

func decodeSnapshot(digester *snapshot.Digester, data []byte) (*apiv1.Snapshot, uint64, error) {
	next := &apiv1.Snapshot{}
	if err := unmarshal(data, next); err != nil {
		return nil, 0, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	if err := digester.Check(next); err != nil {
		return nil, next.Version, err
	}
	return next, next.Version, nil
}

// DecodeMembers decodes the membership update of a watch response.
func DecodeMembers(data []byte) (*apiv1.MembersUpdate, error) {
	update := &apiv1.MembersUpdate{}
	if err := unmarshal(data, update); err != nil {
		return nil, errors.Wrap(ErrMalformedResponse, err.Error())
	}
	return update, nil
}
