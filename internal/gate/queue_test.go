package gate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// entryAt returns a call that starts at the given time, with an objective of 300 ms and a deadline of 1.2 s.
func entryAt(at time.Time, priority int) *Entry {
	return &Entry{
		Route: "lookup", Priority: priority,
		Objective: at.Add(300 * time.Millisecond), FinishBy: at.Add(225 * time.Millisecond), Deadline: at.Add(1200 * time.Millisecond),
	}
}

// fullQueue returns a queue whose slots are all taken and whose mean latency is 100 ms.
func fullQueue(slots int) *Queue {
	q := NewQueue(slots)
	for range 20 {
		q.latencies.Observe("lookup", 100*time.Millisecond)
	}
	for range slots {
		q.Admit(entryAt(epoch, 1), epoch)
	}
	return q
}

// receiveDecision returns the decision on a waiting call, if there is one yet.
func receiveDecision(e *Entry) (Decision, bool) {
	select {
	case decision := <-e.decision:
		return decision, true
	default:
		return Decision{}, false
	}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	q := NewQueue(3)
	for range 3 {
		require.Equal(t, Run, q.Admit(entryAt(epoch, 1), epoch).Action)
	}
	require.Equal(t, Wait, q.Admit(entryAt(epoch, 1), epoch).Action)
	require.Equal(t, 3, q.Running())
}

// Load pattern: ten times as many calls as slots arrive at once. Those that cannot finish by their FinishBy are refused at
// once, with the time after which to retry, instead of being held until they expire.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	q := fullQueue(4)
	waiting, refused := 0, 0
	for range 40 {
		switch decision := q.Admit(entryAt(epoch, 1), epoch); decision.Action {
		case Wait:
			waiting++
		case Refuse:
			refused++
			require.Positive(t, decision.RetryAfter)
		}
	}
	// A call may wait for 125 ms (FinishBy less the mean latency), and a slot is freed every 25 ms.
	require.Equal(t, 5, waiting)
	require.Equal(t, 35, refused)
}

// Load pattern: calls of high priority arrive while others wait. They run first, and a waiting call that is then expected
// to finish too late is refused at once.
func TestUrgentCallsGoFirst(t *testing.T) {
	q := fullQueue(1)
	lowPriority, urgent := entryAt(epoch, 2), entryAt(epoch, 0)
	require.Equal(t, Wait, q.Admit(lowPriority, epoch).Action)
	urgent.FinishBy = epoch.Add(time.Second)
	require.Equal(t, Wait, q.Admit(urgent, epoch).Action)
	decision, decided := receiveDecision(lowPriority)
	require.True(t, decided, "two calls of 100 ms ahead of it make it finish too late")
	require.Equal(t, Refuse, decision.Action)
	q.Release("lookup", 100*time.Millisecond, epoch.Add(50*time.Millisecond))
	decision, decided = receiveDecision(urgent)
	require.True(t, decided)
	require.Equal(t, Run, decision.Action)
}

// Load pattern: calls that will miss their objective compete with timely ones. A slot given to a late call makes a timely
// one late too, so late calls run after timely ones and are refused while a timely one waits.
func TestLateCallsDoNotDisplaceTimelyCalls(t *testing.T) {
	lateCall := entryAt(epoch.Add(-290*time.Millisecond), 1)
	lateCall.FinishBy = epoch.Add(time.Second)
	q := fullQueue(4)
	require.Equal(t, Wait, q.Admit(lateCall, epoch).Action, "no other call waits")
	timelyCall := entryAt(epoch, 1)
	require.Equal(t, Wait, q.Admit(timelyCall, epoch).Action)
	secondLateCall := entryAt(epoch.Add(-290*time.Millisecond), 1)
	secondLateCall.FinishBy = epoch.Add(time.Second)
	require.Equal(t, Refuse, q.Admit(secondLateCall, epoch).Action)
	q.Release("lookup", 100*time.Millisecond, epoch.Add(10*time.Millisecond))
	decision, decided := receiveDecision(timelyCall)
	require.True(t, decided)
	require.Equal(t, Run, decision.Action)
	_, decided = receiveDecision(lateCall)
	require.False(t, decided)
}

// TestQueueDecidesEveryCallOnce runs arrivals, completions and cancellations in random order: slots are never exceeded, and
// every waiting call gets exactly one decision or is canceled.
func TestQueueDecidesEveryCallOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		q, now := NewQueue(slots), epoch
		running := 0
		var waiting []*Entry
		collect := func() {
			undecided := waiting[:0]
			for _, entry := range waiting {
				decision, decided := receiveDecision(entry)
				switch {
				case !decided:
					undecided = append(undecided, entry)
				case decision.Action == Run:
					running++
				}
			}
			waiting = undecided
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				entry := entryAt(now, rapid.IntRange(0, 2).Draw(t, "priority"))
				switch q.Admit(entry, now).Action {
				case Run:
					running++
				case Wait:
					waiting = append(waiting, entry)
				}
			case 2:
				if running > 0 {
					running--
					q.Release("lookup", time.Duration(rapid.IntRange(1, 300).Draw(t, "took"))*time.Millisecond, now)
				}
			case 3:
				if len(waiting) > 0 && q.Cancel(waiting[0]) {
					waiting = waiting[1:]
				}
			}
			collect()
			if running != q.Running() || running > slots {
				t.Fatalf("%d calls run, the queue reports %d of %d", running, q.Running(), slots)
			}
			if len(waiting) != q.Waiting() {
				t.Fatalf("%d calls wait, the queue reports %d", len(waiting), q.Waiting())
			}
			if len(waiting) > 0 && running < slots {
				t.Fatalf("%d calls wait while a slot is free", len(waiting))
			}
		}
	})
}
