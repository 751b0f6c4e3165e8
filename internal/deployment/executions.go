package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"samphireflow/internal/backendserver"
	"samphireflow/internal/proxy"
)

// countExecutions asks backend servers how often the request with each idempotency key was executed.
func countExecutions(ctx context.Context, servers []Process) (map[string]int, error) {
	executions := map[string]int{}
	for _, server := range servers {
		if err := addExecutions(ctx, server, executions); err != nil {
			return nil, errors.WithMessage(err, server.Instance)
		}
	}
	return executions, nil
}

// addExecutions adds the executions on one backend server to the counts by key.
func addExecutions(ctx context.Context, server Process, executions map[string]int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.AdminAddr+"/executions", nil)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := pollClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var execution backendserver.Execution
		err := decoder.Decode(&execution)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read executions")
		}
		if execution.Key != "" {
			executions[execution.Key]++
		}
	}
}

// checkExecutions compares the outcome that callers got for each key with the number of its executions. It returns an
// error for the first contradiction that it finds.
func checkExecutions(outcomes map[string]proxy.Outcome, executions map[string]int) error {
	for key, outcome := range outcomes {
		n := executions[key]
		if n > 1 {
			return fmt.Errorf("key %s was executed %d times", key, n)
		}
		if outcome == proxy.OutcomeNotRun && n != 0 {
			return fmt.Errorf("key %s was executed but its caller got the outcome not-run", key)
		}
		if outcome == proxy.OutcomeDone && n != 1 {
			return fmt.Errorf("key %s was not executed but its caller got a response", key)
		}
	}
	return nil
}

// countUnknown counts the requests whose callers do not know whether they were executed.
func countUnknown(outcomes map[string]proxy.Outcome) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome == proxy.OutcomeUnknown {
			count++
		}
	}
	return count
}
