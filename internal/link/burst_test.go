package link

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.UnixMilli(1_700_000_000_000)

const (
	burstLink    = usableShare * 21 * megabit / bitsPerByte
	exportAim    = time.Second
	exportRun    = 200 * time.Millisecond
	lookupBytes  = 5000
	lookupBudget = 25 * time.Millisecond
)

// export is a call with a long response.
type export struct {
	arrives     time.Time
	bytes, left int
	promise     *Promise
}

// burst plays 10 s of the load of one instance whose link of 21 Mbit/s has to carry 40 exports a second of 90 kB on average and
// 540 kB at most, which is 1.5 times what it can, beside 80 lookups a second of 5 kB. It returns the share of the admitted
// exports that were sent within the objective of 1 s, the share that was admitted, and the longest wait of a lookup.
func burst(admits bool, piece int) (inTime, admitted float64, lookupWait time.Duration) {
	random := rand.New(rand.NewPCG(1, 1))
	backlog, turns := NewBacklog(burstLink), NewTurns(burstLink)
	var exports []*export
	var lookups []time.Time
	for at := 0.0; at < 10; at += random.ExpFloat64() / 40 {
		bytes := min(int(90_000*math.Exp(0.6*random.NormFloat64()-0.18)), 540_000)
		exports = append(exports, &export{arrives: epoch.Add(time.Duration(at * 1e9)), bytes: bytes, left: bytes})
	}
	for at := 0.0; at < 10; at += random.ExpFloat64() / 80 {
		lookups = append(lookups, epoch.Add(time.Duration(at*1e9)))
	}
	var running, sending []*export
	pieces := map[*turn]*export{}
	taken, timely, next := 0, 0, 0
	for now := epoch; now.Before(epoch.Add(12 * time.Second)); now = now.Add(time.Millisecond) {
		for next < len(exports) && !exports[next].arrives.After(now) {
			e := exports[next]
			next++
			if admits && backlog.Misses("export", exportRun, e.arrives.Add(exportAim*3/4), now) {
				continue
			}
			taken++
			e.promise = backlog.Promise("export")
			running = append(running, e)
		}
		for len(running) > 0 && !running[0].arrives.Add(exportRun).After(now) {
			e := running[0]
			running = running[1:]
			backlog.Answered(e.promise, int64(e.bytes))
			sending = append(sending, e)
		}
		for _, e := range sending {
			if e.left > 0 && !hasPiece(pieces, e) {
				t := &turn{objective: e.arrives.Add(exportAim), bytes: min(piece, e.left), ready: make(chan struct{})}
				pieces[t] = e
				turns.add(t)
			}
		}
		for len(lookups) > 0 && !lookups[0].After(now) {
			lookups = lookups[1:]
			lookupWait = max(lookupWait, turns.freeAt.Sub(now))
			turns.Charge(lookupBytes, now)
			backlog.Short(lookupBytes, now)
		}
		turns.next(now)
		for _, t := range readyTurns(pieces) {
			e := pieces[t]
			delete(pieces, t)
			e.left -= t.bytes
			backlog.Sent(e.promise, t.bytes)
			if e.left == 0 {
				backlog.End(e.promise)
				if !turns.freeAt.After(e.arrives.Add(exportAim)) {
					timely++
				}
			}
		}
	}
	return float64(timely) / float64(taken), float64(taken) / float64(len(exports)), lookupWait
}

func hasPiece(pieces map[*turn]*export, e *export) bool {
	for _, other := range pieces {
		if other == e {
			return true
		}
	}
	return false
}

// readyTurns returns the turns that may be sent, in the order of their objectives.
func readyTurns(pieces map[*turn]*export) []*turn {
	var list []*turn
	for t := range pieces {
		select {
		case <-t.ready:
			list = append(list, t)
		default:
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].objective.Before(list[j].objective) })
	return list
}

// TestBurstOfLongResponses covers a burst of exports at one instance with lookups beside it. An auditor whose export is taken
// gets it in time in 19 of 20 cases, the link is not left idle by refusals, and no lookup, which has 300 ms with 72 ms of work
// and comes twice in a row, waits for the link for more than 25 ms. Without admission nearly all exports are late; sent whole,
// they hold up lookups.
func TestBurstOfLongResponses(t *testing.T) {
	inTime, admitted, lookupWait := burst(true, pieceBytes)
	t.Logf("admission and pieces: in time %.3f, admitted %.3f, lookup waits %v", inTime, admitted, lookupWait)
	require.Greater(t, inTime, 0.95)
	require.Greater(t, admitted*inTime, 0.5, "the link carries 64% of the exports beside the lookups")
	require.Less(t, lookupWait, lookupBudget)

	inTime, _, _ = burst(false, pieceBytes)
	t.Logf("no admission: in time %.3f", inTime)
	require.Less(t, inTime, 0.5, "the load does not need admission")
	_, _, lookupWait = burst(true, 540_000)
	t.Logf("no pieces: lookup waits %v", lookupWait)
	require.Greater(t, lookupWait, lookupBudget, "the load does not need pieces")
}
