package state

import (
	apiv1 "samphireflow/api/v1"
)

// answerLimit is the number of first answers that are remembered; at 1,700 changes a day it covers 11 days.
const answerLimit = 20000

// answers remembers the first answer to each request, the oldest going first when it is full.
type answers struct {
	limit int
	byID  map[string]*apiv1.StoredAnswer
	order []string
}

func newAnswers(limit int) *answers {
	return &answers{limit: limit, byID: map[string]*apiv1.StoredAnswer{}}
}

func (a *answers) get(id string) (*apiv1.StoredAnswer, bool) {
	answer, ok := a.byID[id]
	return answer, ok
}

func (a *answers) put(answer *apiv1.StoredAnswer) {
	a.byID[answer.Id] = answer
	a.order = append(a.order, answer.Id)
	for len(a.order) > a.limit {
		delete(a.byID, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answers) list() []*apiv1.StoredAnswer {
	list := make([]*apiv1.StoredAnswer, 0, len(a.order))
	for _, id := range a.order {
		list = append(list, a.byID[id])
	}
	return list
}
