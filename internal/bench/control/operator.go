package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// proposer is the replicated log or the baseline.
type proposer interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// operator repeatedly edits a branch of its own.
type operator struct {
	name string
	base uint64
	next int
}

func newOperators(prefix string, count int) []*operator {
	var list []*operator
	for i := 0; i < count; i++ {
		list = append(list, &operator{name: fmt.Sprintf("%s-%d", prefix, i)})
	}
	return list
}

// edit submits one edit and fails unless it is accepted.
func (o *operator) edit(ctx context.Context, target proposer) error {
	o.next++
	command := &apiv1.Command{Kind: &apiv1.Command_Edit{Edit: &apiv1.EditRequest{
		EditId:   fmt.Sprintf("%s/%d", o.name, o.next),
		Operator: o.name,
		Branches: []*apiv1.BranchEdit{{
			Path:        "/sites/" + o.name,
			BaseVersion: o.base,
			Changes:     []*apiv1.Change{{Key: tree.KeyCallTimeout, Value: fmt.Sprintf("%dms", 100+o.next%900)}},
		}},
	}}}
	data, err := proto.Marshal(command)
	if err != nil {
		return errors.WithStack(err)
	}
	encoded, err := target.Propose(ctx, data)
	if err != nil {
		return err
	}
	result := &apiv1.CommandResult{}
	if err := proto.Unmarshal(encoded, result); err != nil {
		return errors.WithStack(err)
	}
	if result.Edit.GetOutcome() != apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		return errors.Errorf("edit not accepted: %v", result)
	}
	o.base = result.Edit.Version
	return nil
}

// Bounds of the latency histograms, in microseconds.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// editStats holds the latencies of the edits of several operators.
type editStats struct {
	latency *hdrhistogram.Histogram
	seconds float64
}

func (s *editStats) editsPerSecond() float64 { return float64(s.latency.TotalCount()) / s.seconds }

// latencyMillis returns the latency below which the given percentage of the edits stays, in milliseconds.
func (s *editStats) latencyMillis(percent float64) float64 {
	return float64(s.latency.ValueAtQuantile(percent)) / 1000
}

// add merges the edits and the duration of other.
func (s *editStats) add(other *editStats) {
	s.latency.Merge(other.latency)
	s.seconds += other.seconds
}

func newEditStats() *editStats {
	return &editStats{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

// runOperators lets operators edit for the given time, each waiting for a response before its next edit.
func runOperators(ctx context.Context, target proposer, operators []*operator, duration time.Duration) (*editStats, error) {
	total := newEditStats()
	started := time.Now()
	var mu sync.Mutex
	var failure error
	var running sync.WaitGroup
	for _, o := range operators {
		running.Go(func() {
			stats := newEditStats()
			for time.Since(started) < duration {
				sent := time.Now()
				if err := o.edit(ctx, target); err != nil {
					mu.Lock()
					failure = err
					mu.Unlock()
					return
				}
				_ = stats.latency.RecordValue(time.Since(sent).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.add(stats)
		})
	}
	running.Wait()
	total.seconds = time.Since(started).Seconds()
	return total, failure
}
