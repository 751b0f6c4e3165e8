package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// callCountPeriod is the time for which stepCalls counts calls.
const callCountPeriod = 3 * time.Second

// stepCalls checks that callers in every failure domain send calls and that all of them succeed.
func (d *demo) stepCalls(ctx context.Context) (string, error) {
	before := d.countByDomain()
	if err := sleep(ctx, callCountPeriod); err != nil {
		return "", err
	}
	after := d.countByDomain()
	calls := 0
	for i, domain := range d.layout.Domains {
		sent := after[i].calls - before[i].calls
		succeeded := after[i].succeeded - before[i].succeeded
		calls += sent
		if sent == 0 || succeeded != sent {
			return "", errors.Errorf("%d of %d calls from %s succeeded", succeeded, sent, domain.Name)
		}
	}
	return fmt.Sprintf("%d of %d calls from %d failure domains", calls, calls, len(d.layout.Domains)), nil
}

// countByDomain counts the calls from each failure domain, in the order of the layout.
func (d *demo) countByDomain() []callCount {
	counts := make([]callCount, 0, len(d.layout.Domains))
	for _, domain := range d.layout.Domains {
		counts = append(counts, d.traffic.stats.sum(func(s callGroup) bool { return s.domain == domain.Name }))
	}
	return counts
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-time.After(duration):
		return nil
	}
}

// stepResponses checks that every response was complete and belonged to its request.
func (d *demo) stepResponses(context.Context) (string, error) {
	problems := d.traffic.stats.invalidResponses()
	total := d.traffic.stats.sum(func(callGroup) bool { return true })
	if len(problems) > 0 {
		return "", errors.Errorf("%d of %d responses are invalid, for example: %s", len(problems), total.calls, problems[0])
	}
	return fmt.Sprintf("%d of %d", total.calls, total.calls), nil
}

// stepExecutions compares the outcomes that callers got with the executions on the backend servers.
func (d *demo) stepExecutions(ctx context.Context) (string, error) {
	outcomes := d.traffic.stats.outcomesByKey()
	executions, err := countExecutions(ctx, byRole(d.Processes(), RoleBackendServer))
	if err != nil {
		return "", err
	}
	if err := checkExecutions(outcomes, executions); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d bookings, %d with unknown outcome, %d executions", len(outcomes), countUnknown(outcomes), len(executions)), nil
}
