package state

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
)

// Machine applies commands in log order. Apply, Snapshot and Restore belong to one goroutine; View and Changed
// may be called from any.
type Machine struct {
	view    atomic.Pointer[View]
	answers *answers
	// documents holds every document that was ever accepted.
	documents *documents

	mu      sync.Mutex
	changed chan struct{}
}

// NewMachine returns a machine at version 0.
func NewMachine() *Machine {
	m := &Machine{answers: newAnswers(answerLimit), documents: newDocuments(nil), changed: make(chan struct{})}
	m.view.Store(emptyView())
	return m
}

// View returns the newest view.
func (m *Machine) View() *View {
	return m.view.Load()
}

// Changed returns a channel that is closed at the next change of the view. Take the channel before the view.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Machine) publish(view *View) {
	m.view.Store(view)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// Apply runs one command and returns the encoded CommandResult. A resent request gets its first answer.
func (m *Machine) Apply(_, term uint64, data []byte) []byte {
	command := &apiv1.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return encode(refused(errors.Wrap(err, "command").Error()))
	}
	return encode(m.run(command, term))
}

func (m *Machine) run(command *apiv1.Command, term uint64) *apiv1.CommandResult {
	id, digest := identify(command)
	if id == "" {
		return m.execute(command, term)
	}
	if stored, ok := m.answers.get(id); ok {
		return repeatAnswer(stored, digest)
	}
	result := m.execute(command, term)
	m.answers.put(&apiv1.StoredAnswer{Id: id, Version: m.View().Version, Result: result, RequestDigest: digest})
	return result
}

func (m *Machine) execute(command *apiv1.Command, term uint64) *apiv1.CommandResult {
	switch kind := command.Kind.(type) {
	case *apiv1.Command_Edit:
		return &apiv1.CommandResult{Edit: m.edit(kind.Edit, command.ProposedUnixMs, term)}
	case *apiv1.Command_Revert:
		return &apiv1.CommandResult{Edit: m.revert(kind.Revert, command.ProposedUnixMs, term)}
	case *apiv1.Command_StartMove:
		return &apiv1.CommandResult{Move: m.startMove(kind.StartMove, command.ProposedUnixMs, term)}
	case *apiv1.Command_CancelMove:
		return &apiv1.CommandResult{Move: m.cancelMove(kind.CancelMove, command.ProposedUnixMs, term)}
	case *apiv1.Command_StepMove:
		return &apiv1.CommandResult{Move: m.stepMove(kind.StepMove, command.ProposedUnixMs, term)}
	case *apiv1.Command_Assign:
		return &apiv1.CommandResult{Edit: m.assign(kind.Assign, command.ProposedUnixMs, term)}
	case *apiv1.Command_Publish:
		return &apiv1.CommandResult{Publish: m.publishDocument(kind.Publish, command.ProposedUnixMs, term)}
	case *apiv1.Command_Adopt:
		return &apiv1.CommandResult{Edit: m.adopt(kind.Adopt, term)}
	}
	return refused("unknown command")
}

// identify returns the idempotency key of a command, qualified by its kind, and the digest of the request.
func identify(command *apiv1.Command) (string, uint64) {
	switch kind := command.Kind.(type) {
	case *apiv1.Command_Edit:
		return qualify("edit/", kind.Edit.EditId), digestOf(kind.Edit)
	case *apiv1.Command_Revert:
		return qualify("edit/", kind.Revert.EditId), digestOf(kind.Revert)
	case *apiv1.Command_StartMove:
		return qualify("move/", kind.StartMove.MoveId), digestOf(kind.StartMove)
	case *apiv1.Command_CancelMove:
		return qualify("cancel/", kind.CancelMove.RequestId), digestOf(kind.CancelMove)
	}
	return "", 0
}

func qualify(prefix, id string) string {
	if id == "" {
		return ""
	}
	return prefix + id
}

func digestOf(message proto.Message) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func repeatAnswer(stored *apiv1.StoredAnswer, digest uint64) *apiv1.CommandResult {
	if stored.RequestDigest != digest {
		return refused("the ID was used before for another request")
	}
	result := proto.Clone(stored.Result).(*apiv1.CommandResult)
	if result.Edit != nil {
		result.Edit.RepeatedAnswer = true
	}
	if result.Move != nil {
		result.Move.RepeatedAnswer = true
	}
	return result
}

// refused is the answer to a command that breaks a rule before any kind-specific check.
func refused(detail string) *apiv1.CommandResult {
	return &apiv1.CommandResult{
		Edit: &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Detail: detail},
		Move: &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Detail: detail},

		Publish: &apiv1.PublishResponse{Outcome: apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID, Detail: detail},
	}
}

func encode(result *apiv1.CommandResult) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		return nil
	}
	return data
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	view := m.View()
	image := &apiv1.StateImage{
		Version:         view.Version,
		Term:            view.Term,
		Branches:        view.Tree.Messages(),
		History:         view.history,
		Answers:         m.answers.list(),
		Moves:           view.Moves(),
		ServiceVersions: versionMessages(view.versions),
		Assignments:     view.assignments,

		Document:          view.document,
		AcceptedDocuments: m.documents.list(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(image)
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	return packed.Pack(data), nil
}

// Restore replaces the whole state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	if packed.Is(data) {
		unpacked, err := packed.Unpack(data)
		if err != nil {
			return errors.Wrap(err, "unpack state")
		}
		data = unpacked
	}
	image := &apiv1.StateImage{}
	if err := proto.Unmarshal(data, image); err != nil {
		return errors.Wrap(err, "decode state")
	}
	view, err := viewFromImage(image)
	if err != nil {
		return err
	}
	m.documents = newDocuments(image.AcceptedDocuments)
	m.answers = newAnswers(answerLimit)
	for _, answer := range image.Answers {
		m.answers.put(answer)
	}
	m.publish(view)
	return nil
}
