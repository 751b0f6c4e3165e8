package state

import (
	apiv1 "samphireflow/api/v1"
)

// maxStoredAnswers limits the number of stored answers. At 1,700 changes a day, it covers 11 days.
const maxStoredAnswers = 20000

// answerStore keeps the first answer to each request, so that a retry of the request gets the same answer. When it is
// full, it evicts the oldest answer.
type answerStore struct {
	limit int
	byID  map[string]*apiv1.StoredAnswer
	// order lists the request IDs from the oldest answer to the newest.
	order []string
}

func newAnswerStore(limit int) *answerStore {
	return &answerStore{limit: limit, byID: map[string]*apiv1.StoredAnswer{}}
}

func (a *answerStore) get(id string) (*apiv1.StoredAnswer, bool) {
	answer, ok := a.byID[id]
	return answer, ok
}

func (a *answerStore) put(answer *apiv1.StoredAnswer) {
	a.byID[answer.Id] = answer
	a.order = append(a.order, answer.Id)
	for len(a.order) > a.limit {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

// list returns the answers from the oldest to the newest.
func (a *answerStore) list() []*apiv1.StoredAnswer {
	list := make([]*apiv1.StoredAnswer, 0, len(a.order))
	for _, id := range a.order {
		list = append(list, a.byID[id])
	}
	return list
}
