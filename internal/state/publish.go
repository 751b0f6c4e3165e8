package state

import (
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/tree"
)

// publishDocument replaces all services and routes by those of a document.
//
// Invariants: of all documents with the same base number, at most one is accepted. A document that was accepted once is
// always answered as accepted, even if another document has replaced it since.
func (m *Machine) publishDocument(request *apiv1.PublishRequest, now int64, term uint64) *apiv1.PublishResponse {
	view := m.View()
	body, err := unpackBody(request)
	if err != nil {
		return &apiv1.PublishResponse{Outcome: apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID, Number: view.document.GetNumber(), Detail: err.Error()}
	}
	key := documentKeyOf(request, body.Content)
	if m.documents.contains(key) {
		return &apiv1.PublishResponse{
			Outcome:        apiv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED,
			Number:         view.document.GetNumber(),
			RepeatedAnswer: true,
		}
	}
	changed, edit, response := checkDocument(view, request, body, key)
	if response != nil {
		return response
	}
	m.memory.Lock()
	m.documents.add(key)
	m.memory.Unlock()
	accepted := m.acceptEdit(view, changed, &apiv1.HistoryEntry{
		EditId:   edit.EditId,
		Operator: edit.Operator,
		Comment:  edit.Comment,
		Branches: edit.Branches,
	}, view.Tree.AffectedBranches(edit), &apiv1.Document{Number: request.Number, PackedContent: packed.Pack(body.Content)}, now, term)
	return &apiv1.PublishResponse{
		Outcome: apiv1.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED,
		Number:  request.Number,
		Version: accepted.Version,
	}
}

func unpackBody(request *apiv1.PublishRequest) (*apiv1.DocumentBody, error) {
	data, err := packed.Unpack(request.PackedBody)
	if err != nil {
		return nil, err
	}
	body := &apiv1.DocumentBody{}
	return body, errors.Wrap(proto.Unmarshal(data, body), "decode a document")
}

// PackBody encodes and compresses a document for a PublishRequest. The same document always yields the same bytes.
func PackBody(body *apiv1.DocumentBody) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	return packed.Pack(data), errors.Wrap(err, "encode a document")
}

// checkDocument validates a document against a view. It returns the resulting tree and the edit that produces it, or the
// answer that refuses the document.
func checkDocument(view *View, request *apiv1.PublishRequest, body *apiv1.DocumentBody, key documentKey) (*tree.Tree, *apiv1.EditRequest, *apiv1.PublishResponse) {
	current := view.document.GetNumber()
	refuse := func(outcome apiv1.PublishOutcome, detail string, faults []*apiv1.Fault) (*tree.Tree, *apiv1.EditRequest, *apiv1.PublishResponse) {
		return nil, nil, &apiv1.PublishResponse{Outcome: outcome, Number: current, Detail: detail, Faults: faults}
	}
	if request.BaseNumber != current {
		return refuse(apiv1.PublishOutcome_PUBLISH_OUTCOME_CONFLICT,
			fmt.Sprintf("document %d is in force, document %d builds on %d", current, request.Number, request.BaseNumber), nil)
	}
	if request.Number <= current {
		return refuse(apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID,
			fmt.Sprintf("number %d is not above %d, which is in force", request.Number, current), nil)
	}
	edit := &apiv1.EditRequest{
		EditId:   fmt.Sprintf("document/%d/%s", request.Number, hex.EncodeToString(key.digest[:8])),
		Operator: request.Operator,
		Comment:  fmt.Sprintf("document %d", request.Number),
	}
	branches, faults := view.Tree.ReplaceServices(body.Branches)
	if len(faults) > 0 {
		return refuse(apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID, FaultsDetail(faults), faults)
	}
	edit.Branches = branches
	if len(branches) == 0 {
		// The document differs from the one in force only in parts that are not in the tree, such as its number.
		return view.Tree, edit, nil
	}
	next, _, faults := view.Tree.Apply(edit, view.Version+1)
	if len(faults) > 0 {
		return refuse(apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID, FaultsDetail(faults), faults)
	}
	return next, edit, nil
}

// adopt sets the version of a service that has none. It does not replace a version that a move, an operator or an earlier
// adoption has set.
func (m *Machine) adopt(request *apiv1.AdoptVersion, term uint64) *apiv1.EditResponse {
	view := m.View()
	service := tree.Path{Level: tree.LevelService, Service: request.Service}
	if view.Tree.Branch(service) == nil || view.ServiceVersion(request.Service) != "" || request.Version == "" {
		return &apiv1.EditResponse{
			Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT,
			Version: view.Version,
			Detail:  fmt.Sprintf("service %q does not exist or has a version", request.Service),
		}
	}
	next := view.next(term)
	next.versions = existingServiceVersions(view.versions, view.Tree)
	next.versions[request.Service] = request.Version
	m.setView(next)
	return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Version: next.Version}
}
