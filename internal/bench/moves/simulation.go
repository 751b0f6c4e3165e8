package moves

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move"
	"samphireflow/internal/move/local"
	"samphireflow/internal/outcome"
	"samphireflow/internal/state"
)

const (
	serviceName = "service"
	oldVersion  = "v1"
	newVersion  = "v2"
	moveID      = "move"

	tick = 500 * time.Millisecond
	// reportTicks is the number of ticks between reports of the nodes.
	reportTicks = 2
	// durationSigma is the standard deviation of the logarithm of call durations.
	durationSigma = 0.5
	// serverRestartTime is how long a crashed backend server is down.
	serverRestartTime = 2 * time.Second
	// crashAttempts is the number of times that a caller sends a crashing request.
	crashAttempts = 3
	// A new backend server's first coldCalls calls take coldSlowdown times as long.
	coldCalls    = 5
	coldSlowdown = 8
	// dependencyErrorRate is the error rate while a shared dependency fails.
	dependencyErrorRate = 0.4
	slots               = 10
)

var epoch = time.UnixMilli(1_700_000_000_000)

// simulation is one simulated move.
type simulation struct {
	workload workload
	scenario scenario
	random   *rand.Rand
	strategy strategy

	now      time.Time
	machine  *state.Machine
	logIndex uint64
	// shares is the share that the nodes of each failure domain have applied.
	shares            []uint32
	pendingUpdates    []shareUpdate
	breakers          []*local.Breaker
	aggregators       []*outcome.Aggregator
	readyServers      int
	restartsAt        []time.Time
	newServersStarted time.Time
	// coldCallsLeft counts the slow calls left for each of the new version's backend servers.
	coldCallsLeft []int

	regressionOnset   time.Duration
	disturbance       timeWindow
	partitionedDomain int
	regressedRoute    int
	nextCrash         time.Time
	// fullShareAt is when the new version first had its full share; 0 means not yet.
	fullShareAt time.Duration

	result result
}

// shareUpdate is a share on its way to the nodes of a failure domain.
type shareUpdate struct {
	domain int
	at     time.Time
	share  uint32
}

// timeWindow is a time range, counted from the start of the move.
type timeWindow struct {
	from, to time.Duration
}

func (w timeWindow) contains(at time.Duration) bool {
	return at >= w.from && at < w.to
}

// strategy decides the steps of the move.
type strategy interface {
	report(now time.Time, moves []*apiv1.Move, outcomes []*apiv1.OutcomeCount)
	step(now time.Time, moves []*apiv1.Move, fleet move.Fleet) []*apiv1.StepMove
	// reset discards all evidence, as when a leader takes over without it.
	reset()
	// breakersEnabled reports whether the nodes limit the new version's share by their own evidence.
	breakersEnabled() bool
}

func newSimulation(w workload, sc scenario, seed uint64, st strategy) *simulation {
	random := rand.New(rand.NewPCG(seed, uint64(len(sc.name))*1_000_003+uint64(len(w.name))))
	s := &simulation{
		workload: w, scenario: sc, random: random, strategy: st,
		now: epoch, machine: state.NewMachine(), shares: make([]uint32, w.domains),
		readyServers: w.servers, newServersStarted: epoch.Add(-time.Minute), regressedRoute: random.IntN(len(w.routes)), partitionedDomain: random.IntN(w.domains),
	}
	if sc.coldStart {
		s.newServersStarted = epoch
		for range w.servers {
			s.coldCallsLeft = append(s.coldCallsLeft, coldCalls)
		}
	}
	for range w.nodes {
		s.breakers = append(s.breakers, local.NewBreaker(epoch))
	}
	for domain := range w.domains {
		s.aggregators = append(s.aggregators, outcome.NewAggregator(strconv.Itoa(domain)))
	}
	s.regressionOnset = time.Duration((sc.onsetFrom + random.Float64()*(sc.onsetTo-sc.onsetFrom)) * float64(w.deadline))
	from := time.Duration((0.05 + 0.5*random.Float64()) * float64(w.deadline))
	s.disturbance = timeWindow{from, from + time.Duration((0.05+0.15*random.Float64())*float64(w.deadline))}
	s.nextCrash = epoch.Add(time.Duration(random.Float64() * float64(sc.crashInterval)))
	return s
}

// run simulates the move to its end.
func (s *simulation) run() result {
	s.startMove()
	for i := 1; s.elapsed() < s.workload.deadline+4*s.workload.watch; i++ {
		s.now = s.now.Add(tick)
		s.applyShareUpdates()
		s.restartServers()
		s.sendCalls()
		if i%reportTicks == 0 {
			s.sendReports()
		}
		if i%reportTicks == 1 {
			s.stepMove()
		}
		if s.ended() {
			break
		}
	}
	s.result.setEnd(s.currentMove(), s.fullShareAt, s.workload.deadline)
	return s.result
}

// ended reports whether the move has ended and all nodes have applied the end.
func (s *simulation) ended() bool {
	return !state.Active(s.currentMove()) && len(s.pendingUpdates) == 0
}

func (s *simulation) elapsed() time.Duration {
	return s.now.Sub(epoch)
}

func (s *simulation) startMove() {
	edit := &apiv1.EditRequest{EditId: "edit", Branches: []*apiv1.BranchEdit{{
		Path: "/services/" + serviceName, Changes: []*apiv1.Change{{Key: "service.version", Value: oldVersion}},
	}}}
	s.apply(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: edit}})
	s.apply(&apiv1.Command{Kind: &apiv1.Command_StartMove{StartMove: &apiv1.StartMoveRequest{
		MoveId: moveID, Service: serviceName, ToVersion: newVersion,
		DeadlineUnixMs: epoch.Add(s.workload.deadline).UnixMilli(),
		Policy:         &apiv1.MovePolicy{WatchMs: uint64(s.workload.watch.Milliseconds()), ThinEvidence: s.workload.thinEvidence},
	}}})
}

func (s *simulation) apply(command *apiv1.Command) {
	command.ProposedUnixMs = s.now.UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	s.logIndex++
	s.machine.Apply(s.logIndex, 1, data)
	if current := s.currentMove(); s.fullShareAt == 0 && current.GetState() == apiv1.MoveState_MOVE_STATE_WATCHING {
		s.fullShareAt = s.elapsed()
	}
	s.sendShares()
}

func (s *simulation) currentMove() *apiv1.Move {
	return s.machine.View().Move(moveID)
}

// sendShares sends the current share to the nodes of each failure domain, which apply it after a delay of up to a
// second.
func (s *simulation) sendShares() {
	current := s.currentMove()
	if current == nil {
		return
	}
	for domain := range s.workload.domains {
		delay := time.Duration((0.1 + 0.9*s.random.Float64()) * float64(time.Second))
		s.pendingUpdates = append(s.pendingUpdates, shareUpdate{domain, s.now.Add(delay), current.ShareBp})
	}
}

func (s *simulation) applyShareUpdates() {
	var remaining []shareUpdate
	for _, update := range s.pendingUpdates {
		if update.at.After(s.now) || s.partitioned(update.domain) {
			remaining = append(remaining, update)
			continue
		}
		s.shares[update.domain] = update.share
	}
	s.pendingUpdates = remaining
}

func (s *simulation) partitioned(domain int) bool {
	return s.scenario.partition && domain == s.partitionedDomain && s.disturbance.contains(s.elapsed())
}

// restartServers brings back crashed backend servers whose restart time has come.
func (s *simulation) restartServers() {
	var remaining []time.Time
	for _, at := range s.restartsAt {
		if at.After(s.now) {
			remaining = append(remaining, at)
			continue
		}
		s.readyServers++
		s.newServersStarted = s.now
	}
	s.restartsAt = remaining
}

func (s *simulation) sendReports() {
	moves := s.machine.View().ActiveMoves()
	for domain, aggregator := range s.aggregators {
		outcomes := aggregator.Take()
		if !s.partitioned(domain) {
			s.strategy.report(s.now, moves, outcomes)
		}
	}
}

func (s *simulation) stepMove() {
	if (s.scenario.leaderLoss || s.scenario.controlRestart) && s.leaderless() {
		if s.scenario.controlRestart {
			s.strategy.reset()
		}
		return
	}
	for _, step := range s.strategy.step(s.now, s.machine.View().ActiveMoves(), s.fleet()) {
		s.apply(&apiv1.Command{Kind: &apiv1.Command_StepMove{StepMove: step}})
	}
}

// leaderless reports whether the time is within the first seconds of the disturbance or within the first seconds after
// it, when the control group of some scenarios has no leader.
func (s *simulation) leaderless() bool {
	const length = 3 * time.Second
	at := s.elapsed()
	return timeWindow{s.disturbance.from, s.disturbance.from + length}.contains(at) || timeWindow{s.disturbance.to, s.disturbance.to + length}.contains(at)
}

func (s *simulation) fleet() move.Fleet {
	fleet := move.Fleet{Routes: len(s.workload.routes)}
	for i := range s.readyServers + s.workload.servers {
		server := &apiv1.BackendServer{Service: serviceName, Version: oldVersion, Slots: slots, State: apiv1.ServerState_SERVER_STATE_READY}
		if i < s.readyServers {
			server.Version = newVersion
			server.StartedUnixMs = s.newServersStarted.UnixMilli()
		}
		fleet.Servers = append(fleet.Servers, server)
	}
	for domain := range s.workload.domains {
		if !s.partitioned(domain) {
			fleet.Domains = append(fleet.Domains, strconv.Itoa(domain))
		}
	}
	return fleet
}

// poisson draws a Poisson-distributed count with Knuth's method, in parts so that large means don't underflow.
func poisson(random *rand.Rand, mean float64) int {
	const part = 20
	count := 0
	for ; mean > part; mean -= part {
		count += poisson(random, part)
	}
	limit, product := math.Exp(-mean), random.Float64()
	for product > limit {
		count++
		product *= random.Float64()
	}
	return count
}
