package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/deployment"
)

// callTimeout bounds one call to a real process.
const callTimeout = 3 * time.Second

// processService sends edits and reads to control instances that run as processes.
type processService struct {
	clients []apiv1.Config
}

func newProcessService(controls []deployment.Process) *processService {
	client := &http.Client{Timeout: callTimeout}
	s := &processService{}
	for _, control := range controls {
		s.clients = append(s.clients, apiv1.NewConfigProtobufClient("http://"+control.ControlAddr, client))
	}
	return s
}

func (s *processService) pick(random *rand.Rand) apiv1.Config {
	return s.clients[random.IntN(len(s.clients))]
}

func (s *processService) edit(random *rand.Rand, in request) answer {
	response, err := s.pick(random).Edit(context.Background(), editRequest(in))
	if err != nil || response.Outcome == apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN {
		return answer{unknown: true}
	}
	if response.Outcome == apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED {
		return answer{outcome: response.Outcome}
	}
	return answerOf(response)
}

func (s *processService) read(random *rand.Rand) answer {
	return readClient(s.pick(random))
}

func readClient(client apiv1.Config) answer {
	response, err := client.Show(context.Background(), &apiv1.ShowRequest{Path: "/"})
	if err != nil {
		return answer{unknown: true}
	}
	out := answer{version: response.Version}
	for _, branch := range response.Branches {
		for i := range out.branches {
			if branch.Path == branchPath(i) {
				out.branches[i] = branch.Version
			}
		}
	}
	return out
}
