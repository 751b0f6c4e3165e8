package move

import (
	"slices"
	"sort"
	"time"

	apiv1 "samphireflow/api/v1"
)

// stepPatience is the time for which a proposed step is waited for before it is proposed again.
const stepPatience = 2 * time.Second

// Driver keeps the judges of all moves. It belongs to the goroutine that owns control state, and works only on the
// leader: a new leader starts with an empty one, gathers evidence anew and goes on from the replicated moves.
type Driver struct {
	running map[string]*running
}

// judge weighs the evidence on one move.
type judge interface {
	// Observe takes in the outcomes of one version on one route, from one failure domain.
	Observe(now time.Time, side Side, route, domain string, counts Counts)
	// Decide returns the next step of the move, or why there is none.
	Decide(now time.Time, move *apiv1.Move, situation *Situation) Decision
}

// running is one active move with its judge.
type running struct {
	judge    judge
	proposed proposal
	hold     string
	// domains holds every failure domain that was seen alive since the judge started.
	domains map[string]bool
}

// proposal is a step that was handed out and may not have been applied yet.
type proposal struct {
	revision uint64
	at       time.Time
}

// Fleet is what the driver needs to know about the service of a move.
type Fleet struct {
	// Routes is the count of routes of the service.
	Routes int
	// Servers lists the backend servers of the service, of all versions.
	Servers []*apiv1.BackendServer
	// Domains lists the failure domains from which nodes are heard.
	Domains []string
}

// NewDriver returns a driver without evidence.
func NewDriver() *Driver {
	return &Driver{running: map[string]*running{}}
}

// Reset forgets all evidence, as on the loss of leadership.
func (d *Driver) Reset() {
	clear(d.running)
}

// Report takes in outcomes for the active moves. Outcomes of other services and versions are passed over.
func (d *Driver) Report(now time.Time, moves []*apiv1.Move, outcomes []*apiv1.OutcomeCount) {
	for _, outcome := range outcomes {
		for _, move := range moves {
			d.observe(now, move, outcome)
		}
	}
}

func (d *Driver) observe(now time.Time, move *apiv1.Move, outcome *apiv1.OutcomeCount) {
	r := d.running[move.Id]
	if r == nil || move.Service != outcome.Service {
		return
	}
	switch outcome.Version {
	case move.ToVersion:
		r.judge.Observe(now, NewVersion, outcome.Route, outcome.FailureDomain, countsOf(outcome))
	case move.FromVersion:
		r.judge.Observe(now, OldVersion, outcome.Route, outcome.FailureDomain, countsOf(outcome))
	}
}

// Step returns the steps to propose for the active moves. It is called regularly, at least once a second.
func (d *Driver) Step(now time.Time, moves []*apiv1.Move, fleet func(service string) Fleet) []*apiv1.StepMove {
	d.forgetEnded(moves)
	var steps []*apiv1.StepMove
	for _, move := range moves {
		if step := d.stepOf(now, move, fleet(move.Service)); step != nil {
			steps = append(steps, step)
		}
	}
	return steps
}

func (d *Driver) stepOf(now time.Time, move *apiv1.Move, fleet Fleet) *apiv1.StepMove {
	r := d.running[move.Id]
	if r == nil {
		r = &running{judge: judgeOf(now, move, fleet), domains: map[string]bool{}}
		d.running[move.Id] = r
	}
	if r.proposed.revision == move.Revision && now.Sub(r.proposed.at) < stepPatience {
		return nil
	}
	decision := r.judge.Decide(now, move, r.situation(move, fleet))
	r.hold = decision.Hold
	if decision.Step != nil {
		r.proposed = proposal{revision: move.Revision, at: now}
	}
	return decision.Step
}

// judgeOf returns the judge for the length of a move.
func judgeOf(now time.Time, move *apiv1.Move, fleet Fleet) judge {
	if isBrisk(move) {
		return newBriskJudge(now, move)
	}
	return NewJudge(move, fleet.Routes)
}

// HoldReason says why a move does not go on at present; empty when it does.
func (d *Driver) HoldReason(moveID string) string {
	if r := d.running[moveID]; r != nil {
		return r.hold
	}
	return ""
}

func (d *Driver) forgetEnded(moves []*apiv1.Move) {
	active := make(map[string]bool, len(moves))
	for _, move := range moves {
		active[move.Id] = true
	}
	for id := range d.running {
		if !active[id] {
			delete(d.running, id)
		}
	}
}

func (r *running) situation(move *apiv1.Move, fleet Fleet) *Situation {
	situation := &Situation{MissingDomains: r.missingDomains(fleet.Domains)}
	for _, server := range fleet.Servers {
		if server.State != apiv1.ServerState_SERVER_STATE_READY {
			continue
		}
		switch server.Version {
		case move.ToVersion:
			situation.addNew(server)
		case move.FromVersion:
			situation.ReadyOld++
		}
	}
	return situation
}

// missingDomains lists the failure domains that were heard from earlier in the move and are not now.
func (r *running) missingDomains(live []string) []string {
	for _, domain := range live {
		r.domains[domain] = true
	}
	var missing []string
	for domain := range r.domains {
		if !slices.Contains(live, domain) {
			missing = append(missing, domain)
		}
	}
	sort.Strings(missing)
	return missing
}

func (s *Situation) addNew(server *apiv1.BackendServer) {
	s.ReadyNew++
	s.SlotsNew += server.Slots
	if started := time.UnixMilli(server.StartedUnixMs); started.After(s.LastStart) {
		s.LastStart = started
	}
}
