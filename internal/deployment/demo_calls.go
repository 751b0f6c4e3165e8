package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// callsWatched is the time over which calls are counted.
const callsWatched = 3 * time.Second

func (d *demo) stepCalls(ctx context.Context) (string, error) {
	before := d.countByDomain()
	if err := wait(ctx, callsWatched); err != nil {
		return "", err
	}
	after := d.countByDomain()
	calls := 0
	for i, domain := range d.layout.Domains {
		sent := after[i].calls - before[i].calls
		good := after[i].good - before[i].good
		calls += sent
		if sent == 0 || good != sent {
			return "", errors.Errorf("%d of %d calls from %s were answered well", good, sent, domain.Name)
		}
	}
	return fmt.Sprintf("%d of %d calls from %d failure domains", calls, calls, len(d.layout.Domains)), nil
}

func (d *demo) countByDomain() []count {
	counts := make([]count, 0, len(d.layout.Domains))
	for _, domain := range d.layout.Domains {
		counts = append(counts, d.traffic.tally.sum(func(s served) bool { return s.domain == domain.Name }))
	}
	return counts
}

func wait(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-time.After(duration):
		return nil
	}
}

func (d *demo) stepAnswers(context.Context) (string, error) {
	faults := d.traffic.tally.answersToldWrong()
	all := d.traffic.tally.sum(func(served) bool { return true })
	if len(faults) > 0 {
		return "", errors.Errorf("%d of %d answers, for example: %s", len(faults), all.calls, faults[0])
	}
	return fmt.Sprintf("%d of %d", all.calls, all.calls), nil
}

func (d *demo) stepRuns(ctx context.Context) (string, error) {
	told := d.traffic.tally.toldByKey()
	runs, err := countRuns(ctx, byRole(d.Processes(), RoleBackendServer))
	if err != nil {
		return "", err
	}
	if err := checkRuns(told, runs); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d bookings, %d without an answer, %d executions", len(told), unanswered(told), len(runs)), nil
}
