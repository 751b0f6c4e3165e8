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

// Machine applies commands in log order. Apply, Snapshot and Restore must be called from one goroutine; View, Changed,
// Accepted and Answered are safe for concurrent use.
type Machine struct {
	view atomic.Pointer[View]
	// memory guards answers and documents against readers beside the goroutine of Apply, which alone changes them.
	memory    sync.RWMutex
	answers   *answerStore
	documents *acceptedDocuments

	mu sync.Mutex
	// changed is closed and replaced when the view changes.
	changed chan struct{}
}

// NewMachine returns a machine with an empty state at version 0.
func NewMachine() *Machine {
	m := &Machine{answers: newAnswerStore(maxStoredAnswers, maxStoredAnswerBytes), documents: newAcceptedDocuments(nil), changed: make(chan struct{})}
	m.view.Store(emptyView())
	return m
}

// View returns the current view.
func (m *Machine) View() *View {
	return m.view.Load()
}

// Changed returns a channel that is closed at the next change of the view. Call Changed before View, so that no change
// between the two calls is missed.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// setView replaces the view and closes the channel that Changed returned before.
func (m *Machine) setView(view *View) {
	m.view.Store(view)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// Apply executes one command and returns the encoded CommandResult. A request that repeats the ID of an earlier one
// gets the stored answer of that request and changes nothing.
func (m *Machine) Apply(_, term uint64, data []byte) []byte {
	command := &apiv1.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return encodeResult(invalidResult(errors.Wrap(err, "command").Error()))
	}
	return encodeResult(m.executeOnce(command, term))
}

// executeOnce executes a command unless an answer is stored for its idempotency key.
func (m *Machine) executeOnce(command *apiv1.Command, term uint64) *apiv1.CommandResult {
	id, digest := idempotencyKey(command)
	if id == "" {
		return m.execute(command, term)
	}
	if stored, ok := m.answers.get(id); ok {
		return repeatedResult(stored, digest)
	}
	result := m.execute(command, term)
	m.memory.Lock()
	defer m.memory.Unlock()
	m.answers.put(&apiv1.StoredAnswer{Id: id, Version: m.View().Version, Result: result, RequestDigest: digest})
	return result
}

// Answered reports whether an answer is stored for the request in a command, so that executing it changes nothing.
func (m *Machine) Answered(command *apiv1.Command) bool {
	id, _ := idempotencyKey(command)
	m.memory.RLock()
	defer m.memory.RUnlock()
	_, ok := m.answers.get(id)
	return ok
}

// Accepted reports whether a document was accepted once, so that publishing it changes nothing.
func (m *Machine) Accepted(request *apiv1.PublishRequest) bool {
	body, err := unpackBody(request)
	if err != nil {
		return false
	}
	m.memory.RLock()
	defer m.memory.RUnlock()
	return m.documents.contains(documentKeyOf(request, body.Content))
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
	return invalidResult("unknown command")
}

// idempotencyKey returns the ID of the request in a command, with a prefix for its kind, and the digest of the request.
// The key is empty for a command without an ID, which is executed each time.
func idempotencyKey(command *apiv1.Command) (string, uint64) {
	switch kind := command.Kind.(type) {
	case *apiv1.Command_Edit:
		return qualifiedID("edit/", kind.Edit.EditId), requestDigest(kind.Edit)
	case *apiv1.Command_Revert:
		return qualifiedID("edit/", kind.Revert.EditId), requestDigest(kind.Revert)
	case *apiv1.Command_StartMove:
		return qualifiedID("move/", kind.StartMove.MoveId), requestDigest(kind.StartMove)
	case *apiv1.Command_CancelMove:
		return qualifiedID("cancel/", kind.CancelMove.RequestId), requestDigest(kind.CancelMove)
	}
	return "", 0
}

// qualifiedID prefixes an ID; an empty ID stays empty.
func qualifiedID(prefix, id string) string {
	if id == "" {
		return ""
	}
	return prefix + id
}

func requestDigest(message proto.Message) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// repeatedResult returns the stored result of a request, marked as repeated. It refuses a request that has the same ID
// but other contents.
func repeatedResult(stored *apiv1.StoredAnswer, digest uint64) *apiv1.CommandResult {
	if stored.RequestDigest != digest {
		return invalidResult("the ID was used before for another request")
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

// invalidResult returns the result for a command that is refused before it is known which kind of answer it needs.
func invalidResult(detail string) *apiv1.CommandResult {
	return &apiv1.CommandResult{
		Edit: &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Detail: detail},
		Move: &apiv1.MoveResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Detail: detail},

		Publish: &apiv1.PublishResponse{Outcome: apiv1.PublishOutcome_PUBLISH_OUTCOME_INVALID, Detail: detail},
	}
}

func encodeResult(result *apiv1.CommandResult) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		return nil
	}
	return data
}

// Snapshot returns the whole state, encoded and compressed.
func (m *Machine) Snapshot() ([]byte, error) {
	view := m.View()
	image := &apiv1.StateImage{
		Version:         view.Version,
		Term:            view.Term,
		Branches:        view.Tree.Messages(),
		History:         view.history.encodedEntries(),
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

// Restore replaces the whole state by that of a snapshot. It also accepts uncompressed snapshots, which older releases
// wrote.
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
	documents, answers := newAcceptedDocuments(image.AcceptedDocuments), newAnswerStore(maxStoredAnswers, maxStoredAnswerBytes)
	for _, answer := range image.Answers {
		answers.put(answer)
	}
	m.memory.Lock()
	m.documents, m.answers = documents, answers
	m.memory.Unlock()
	m.setView(view)
	return nil
}
