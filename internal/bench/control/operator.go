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

// proposer is the log or the baseline.
type proposer interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// operator edits one branch of its own again and again.
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

// edit makes one edit. Every edit must be accepted.
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
		return errors.Errorf("an edit was not accepted: %v", result)
	}
	o.base = result.Edit.Version
	return nil
}

// Bounds of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	precision      = 3
)

// load is what a number of operators saw together.
type load struct {
	latency *hdrhistogram.Histogram
	seconds float64
}

func (l *load) editsPerSecond() float64 { return float64(l.latency.TotalCount()) / l.seconds }

// millis returns the latency that a share of the edits stays under, in milliseconds.
func (l *load) millis(percent float64) float64 {
	return float64(l.latency.ValueAtQuantile(percent)) / 1000
}

// add joins the edits of another load.
func (l *load) add(other *load) {
	l.latency.Merge(other.latency)
	l.seconds += other.seconds
}

func newLoad() *load {
	return &load{latency: hdrhistogram.New(lowestLatency, highestLatency, precision)}
}

// runLoad lets operators edit for a time, each waiting for its answer.
func runLoad(ctx context.Context, target proposer, operators []*operator, duration time.Duration) (*load, error) {
	total := newLoad()
	started := time.Now()
	var mu sync.Mutex
	var failure error
	var running sync.WaitGroup
	for _, o := range operators {
		running.Go(func() {
			own := newLoad()
			for time.Since(started) < duration {
				begun := time.Now()
				if err := o.edit(ctx, target); err != nil {
					mu.Lock()
					failure = err
					mu.Unlock()
					return
				}
				_ = own.latency.RecordValue(time.Since(begun).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.add(own)
		})
	}
	running.Wait()
	total.seconds = time.Since(started).Seconds()
	return total, failure
}
