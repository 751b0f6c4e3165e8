package move

import (
	"slices"
	"sort"
	"time"

	apiv1 "samphireflow/api/v1"
)

// proposalTimeout is the time after which a step that has not been applied is proposed again.
const proposalTimeout = 2 * time.Second

// Driver holds the judges of all active moves. Only the goroutine that owns the control state may use it, and only on the
// leader. A new leader starts with an empty Driver: it collects the evidence again and continues the replicated moves.
type Driver struct {
	// active holds the active moves by id.
	active map[string]*activeMove
}

// judge evaluates the call outcomes of one move.
type judge interface {
	// Observe adds the outcomes of one version on one route that a failure domain reported.
	Observe(now time.Time, side Side, route, domain string, counts Counts)
	// Decide returns the next step of the move, or why there is none.
	Decide(now time.Time, move *apiv1.Move, status *ServiceStatus) Decision
}

// activeMove is one active move with its judge.
type activeMove struct {
	judge judge
	// proposed is the step that was returned last.
	proposed   proposal
	holdReason string
	// seenDomains holds every failure domain that has been live since the judge was created.
	seenDomains map[string]bool
}

// proposal identifies a step that may not have been applied yet.
type proposal struct {
	// revision is the revision of the move that the step is based on.
	revision uint64
	at       time.Time
}

// Fleet describes the service of a move: its routes, its backend servers and the live failure domains.
type Fleet struct {
	// Routes is the number of routes of the service.
	Routes int
	// Servers lists the backend servers of the service, of all versions.
	Servers []*apiv1.BackendServer
	// Domains lists the live failure domains, which are those of the current member nodes.
	Domains []string
}

// NewDriver returns a Driver without active moves.
func NewDriver() *Driver {
	return &Driver{active: map[string]*activeMove{}}
}

// Reset drops all evidence. It is called when the instance loses the leadership.
func (d *Driver) Reset() {
	clear(d.active)
}

// Report adds reported outcomes to the active moves. It ignores outcomes of other services and versions.
func (d *Driver) Report(now time.Time, moves []*apiv1.Move, outcomes []*apiv1.OutcomeCount) {
	for _, outcome := range outcomes {
		for _, move := range moves {
			d.observe(now, move, outcome)
		}
	}
}

func (d *Driver) observe(now time.Time, move *apiv1.Move, outcome *apiv1.OutcomeCount) {
	active := d.active[move.Id]
	if active == nil || move.Service != outcome.Service {
		return
	}
	switch outcome.Version {
	case move.ToVersion:
		active.judge.Observe(now, NewVersion, outcome.Route, outcome.FailureDomain, countsOf(outcome))
	case move.FromVersion:
		active.judge.Observe(now, OldVersion, outcome.Route, outcome.FailureDomain, countsOf(outcome))
	}
}

// Step returns the steps to propose for the active moves. It must be called at least once a second.
func (d *Driver) Step(now time.Time, moves []*apiv1.Move, fleet func(service string) Fleet) []*apiv1.StepMove {
	d.removeEnded(moves)
	var steps []*apiv1.StepMove
	for _, move := range moves {
		if step := d.nextStep(now, move, fleet(move.Service)); step != nil {
			steps = append(steps, step)
		}
	}
	return steps
}

func (d *Driver) nextStep(now time.Time, move *apiv1.Move, fleet Fleet) *apiv1.StepMove {
	active := d.active[move.Id]
	if active == nil {
		active = &activeMove{judge: newJudge(now, move, fleet), seenDomains: map[string]bool{}}
		d.active[move.Id] = active
	}
	if active.proposed.revision == move.Revision && now.Sub(active.proposed.at) < proposalTimeout {
		return nil
	}
	decision := active.judge.Decide(now, move, active.status(move, fleet))
	active.holdReason = decision.HoldReason
	if decision.Step != nil {
		active.proposed = proposal{revision: move.Revision, at: now}
	}
	return decision.Step
}

// newJudge returns a shortJudge or a Judge, depending on the length of the move.
func newJudge(now time.Time, move *apiv1.Move, fleet Fleet) judge {
	if isShort(move) {
		return newShortJudge(now, move)
	}
	return NewJudge(move, fleet.Routes)
}

// HoldReason says why a move has no next step at present; empty if it has one or is not active.
func (d *Driver) HoldReason(moveID string) string {
	if active := d.active[moveID]; active != nil {
		return active.holdReason
	}
	return ""
}

func (d *Driver) removeEnded(moves []*apiv1.Move) {
	active := make(map[string]bool, len(moves))
	for _, move := range moves {
		active[move.Id] = true
	}
	for id := range d.active {
		if !active[id] {
			delete(d.active, id)
		}
	}
}

func (a *activeMove) status(move *apiv1.Move, fleet Fleet) *ServiceStatus {
	status := &ServiceStatus{MissingDomains: a.missingDomains(fleet.Domains)}
	for _, server := range fleet.Servers {
		if server.State != apiv1.ServerState_SERVER_STATE_READY {
			continue
		}
		switch server.Version {
		case move.ToVersion:
			status.addNew(server)
		case move.FromVersion:
			status.ReadyOld++
		}
	}
	return status
}

// missingDomains lists the failure domains that were live earlier in the move and are not live now.
func (a *activeMove) missingDomains(live []string) []string {
	for _, domain := range live {
		a.seenDomains[domain] = true
	}
	var missing []string
	for domain := range a.seenDomains {
		if !slices.Contains(live, domain) {
			missing = append(missing, domain)
		}
	}
	sort.Strings(missing)
	return missing
}

func (s *ServiceStatus) addNew(server *apiv1.BackendServer) {
	s.ReadyNew++
	s.SlotsNew += server.Slots
	if started := time.UnixMilli(server.StartedUnixMs); started.After(s.LastStart) {
		s.LastStart = started
	}
}
