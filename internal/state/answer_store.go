package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

const (
	// maxStoredAnswers limits the number of stored answers. At 1,700 changes a day, it covers 11 days.
	maxStoredAnswers = 20000
	// maxStoredAnswerBytes limits the encoded answers. It holds maxStoredAnswers answers to accepted requests, which take
	// about 100 bytes each; refusals can be as long as their requests.
	maxStoredAnswerBytes = 4 << 20
)

// answerStore keeps the first answer to each request, so that a retry of the request gets the same answer. When it is full
// by number, it evicts the oldest answer. When it is full by bytes, it evicts the oldest refusal first: a refused request
// that is executed again changes nothing that its operator did not ask for, while an accepted one must not be executed
// twice.
type answerStore struct {
	limit, byteLimit int
	bytes            int
	byID             map[string]*apiv1.StoredAnswer
	// order lists the request IDs from the oldest answer to the newest.
	order []string
}

func newAnswerStore(limit, byteLimit int) *answerStore {
	return &answerStore{limit: limit, byteLimit: byteLimit, byID: map[string]*apiv1.StoredAnswer{}}
}

func (a *answerStore) get(id string) (*apiv1.StoredAnswer, bool) {
	answer, ok := a.byID[id]
	return answer, ok
}

func (a *answerStore) put(answer *apiv1.StoredAnswer) {
	a.byID[answer.Id] = answer
	a.order = append(a.order, answer.Id)
	a.bytes += proto.Size(answer)
	for len(a.order) > a.limit {
		a.evict(0)
	}
	for a.bytes > a.byteLimit && len(a.order) > 1 {
		a.evict(a.oldestRefusal())
	}
}

// evict removes the answer at a position of order.
func (a *answerStore) evict(position int) {
	id := a.order[position]
	a.bytes -= proto.Size(a.byID[id])
	delete(a.byID, id)
	a.order = slices.Delete(a.order, position, position+1)
}

// oldestRefusal returns the position in order of the oldest answer that refused its request, the newest answer excepted. It
// returns 0 if there is none.
func (a *answerStore) oldestRefusal() int {
	for i, id := range a.order[:len(a.order)-1] {
		if !accepts(a.byID[id].Result) {
			return i
		}
	}
	return 0
}

// accepts reports whether the result of a command says that the command was executed.
func accepts(result *apiv1.CommandResult) bool {
	return result.GetEdit().GetOutcome() == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED ||
		result.GetMove().GetOutcome() == apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED
}

// list returns the answers from the oldest to the newest.
func (a *answerStore) list() []*apiv1.StoredAnswer {
	list := make([]*apiv1.StoredAnswer, 0, len(a.order))
	for _, id := range a.order {
		list = append(list, a.byID[id])
	}
	return list
}
