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
	// reportEvery is the time between reports of the nodes.
	reportEvery = 2
	// durationSpread is the standard deviation of the logarithm of call durations.
	durationSpread = 0.5
	// restartTime is the time that a dead backend server is away.
	restartTime = 2 * time.Second
	// crashSends is how often the caller of a crashing request sends it.
	crashSends = 3
	// coldCalls and coldFactor say how slow a backend server's first calls are.
	coldCalls  = 5
	coldFactor = 8
	// beneathRate is the rate of failure while something beneath fails.
	beneathRate = 0.4
	slots       = 10
)

var epoch = time.UnixMilli(1_700_000_000_000)

// world is one simulated move.
type world struct {
	workload workload
	mode     mode
	random   *rand.Rand
	steer    steering

	now     time.Time
	machine *state.Machine
	index   uint64
	// shares is the share that the nodes of each failure domain have applied.
	shares   []uint32
	pushed   []push
	breakers []*local.Breaker
	sums     []*outcome.Aggregator
	ready    int
	restarts []time.Time
	started  time.Time
	// coldLeft counts the slow calls that each of the new version's backend servers still makes.
	coldLeft []int

	onset     time.Duration
	trouble   span
	cutDomain int
	badRoute  int
	nextCrash time.Time
	// wholeAt is when the move was whole for the first time.
	wholeAt time.Duration

	result result
}

// push is a share on its way to the nodes of a failure domain.
type push struct {
	domain int
	at     time.Time
	share  uint32
}

// span is a time of trouble, from the start of the move.
type span struct {
	from, to time.Duration
}

func (s span) holds(at time.Duration) bool {
	return at >= s.from && at < s.to
}

// steering decides the steps of the move.
type steering interface {
	report(now time.Time, moves []*apiv1.Move, outcomes []*apiv1.OutcomeCount)
	step(now time.Time, moves []*apiv1.Move, fleet move.Fleet) []*apiv1.StepMove
	// lose forgets everything, as when another leader takes over.
	lose()
	// guarded says that nodes act on their own evidence.
	guarded() bool
}

func newWorld(w workload, m mode, seed uint64, steer steering) *world {
	random := rand.New(rand.NewPCG(seed, uint64(len(m.name))*1_000_003+uint64(len(w.name))))
	world := &world{
		workload: w, mode: m, random: random, steer: steer,
		now: epoch, machine: state.NewMachine(), shares: make([]uint32, w.domains),
		ready: w.servers, started: epoch.Add(-time.Minute), badRoute: random.IntN(len(w.routes)), cutDomain: random.IntN(w.domains),
	}
	if m.cold {
		world.started = epoch
		for range w.servers {
			world.coldLeft = append(world.coldLeft, coldCalls)
		}
	}
	for range w.nodes {
		world.breakers = append(world.breakers, local.NewBreaker(epoch))
	}
	for domain := range w.domains {
		world.sums = append(world.sums, outcome.NewAggregator(strconv.Itoa(domain)))
	}
	world.onset = time.Duration((m.from + random.Float64()*(m.to-m.from)) * float64(w.deadline))
	from := time.Duration((0.05 + 0.5*random.Float64()) * float64(w.deadline))
	world.trouble = span{from, from + time.Duration((0.05+0.15*random.Float64())*float64(w.deadline))}
	world.nextCrash = epoch.Add(time.Duration(random.Float64() * float64(m.crashEvery)))
	return world
}

// run simulates the move to its end.
func (w *world) run() result {
	w.begin()
	for i := 1; w.since() < w.workload.deadline+4*w.workload.watch; i++ {
		w.now = w.now.Add(tick)
		w.applyPushes()
		w.restart()
		w.calls()
		if i%reportEvery == 0 {
			w.sendReports()
		}
		if i%reportEvery == 1 {
			w.decide()
		}
		if w.over() {
			break
		}
	}
	w.result.finish(w.currentMove(), w.wholeAt, w.workload.deadline)
	return w.result
}

// over reports whether the move has ended and all nodes have applied the end.
func (w *world) over() bool {
	return !state.Active(w.currentMove()) && len(w.pushed) == 0
}

func (w *world) since() time.Duration {
	return w.now.Sub(epoch)
}

func (w *world) begin() {
	edit := &apiv1.EditRequest{EditId: "edit", Branches: []*apiv1.BranchEdit{{
		Path: "/services/" + serviceName, Changes: []*apiv1.Change{{Key: "service.version", Value: oldVersion}},
	}}}
	w.apply(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: edit}})
	w.apply(&apiv1.Command{Kind: &apiv1.Command_StartMove{StartMove: &apiv1.StartMoveRequest{
		MoveId: moveID, Service: serviceName, ToVersion: newVersion,
		DeadlineUnixMs: epoch.Add(w.workload.deadline).UnixMilli(),
		Policy:         &apiv1.MovePolicy{WatchMs: uint64(w.workload.watch.Milliseconds()), ThinEvidence: w.workload.thinEvidence},
	}}})
}

func (w *world) apply(command *apiv1.Command) {
	command.ProposedUnixMs = w.now.UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	w.index++
	w.machine.Apply(w.index, 1, data)
	if current := w.currentMove(); w.wholeAt == 0 && current.GetState() == apiv1.MoveState_MOVE_STATE_WATCHING {
		w.wholeAt = w.since()
	}
	w.pushShares()
}

func (w *world) currentMove() *apiv1.Move {
	return w.machine.View().Move(moveID)
}

// pushShares sends the present share to the nodes of each failure domain; they apply it a little later.
func (w *world) pushShares() {
	current := w.currentMove()
	if current == nil {
		return
	}
	for domain := range w.workload.domains {
		delay := time.Duration((0.1 + 0.9*w.random.Float64()) * float64(time.Second))
		w.pushed = append(w.pushed, push{domain, w.now.Add(delay), current.ShareBp})
	}
}

func (w *world) applyPushes() {
	var left []push
	for _, p := range w.pushed {
		if p.at.After(w.now) || w.cutOff(p.domain) {
			left = append(left, p)
			continue
		}
		w.shares[p.domain] = p.share
	}
	w.pushed = left
}

func (w *world) cutOff(domain int) bool {
	return w.mode.cut && domain == w.cutDomain && w.trouble.holds(w.since())
}

// restart brings back backend servers that died.
func (w *world) restart() {
	var left []time.Time
	for _, at := range w.restarts {
		if at.After(w.now) {
			left = append(left, at)
			continue
		}
		w.ready++
		w.started = w.now
	}
	w.restarts = left
}

func (w *world) sendReports() {
	moves := w.machine.View().ActiveMoves()
	for domain, sum := range w.sums {
		outcomes := sum.Take()
		if !w.cutOff(domain) {
			w.steer.report(w.now, moves, outcomes)
		}
	}
}

func (w *world) decide() {
	if (w.mode.leaderLoss || w.mode.restart) && w.leaderLost() {
		if w.mode.restart {
			w.steer.lose()
		}
		return
	}
	for _, step := range w.steer.step(w.now, w.machine.View().ActiveMoves(), w.fleet()) {
		w.apply(&apiv1.Command{Kind: &apiv1.Command_StepMove{StepMove: step}})
	}
}

// leaderLost holds for some seconds at the start and the end of the time of trouble.
func (w *world) leaderLost() bool {
	const length = 3 * time.Second
	at := w.since()
	return span{w.trouble.from, w.trouble.from + length}.holds(at) || span{w.trouble.to, w.trouble.to + length}.holds(at)
}

func (w *world) fleet() move.Fleet {
	fleet := move.Fleet{Routes: len(w.workload.routes)}
	for i := range w.ready + w.workload.servers {
		server := &apiv1.BackendServer{Service: serviceName, Version: oldVersion, Slots: slots, State: apiv1.ServerState_SERVER_STATE_READY}
		if i < w.ready {
			server.Version = newVersion
			server.StartedUnixMs = w.started.UnixMilli()
		}
		fleet.Servers = append(fleet.Servers, server)
	}
	for domain := range w.workload.domains {
		if !w.cutOff(domain) {
			fleet.Domains = append(fleet.Domains, strconv.Itoa(domain))
		}
	}
	return fleet
}

// poisson draws a count by Knuth's method in parts, so that large means do not underflow.
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
