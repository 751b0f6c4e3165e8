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

// countRuns asks backend servers how often each key was run.
func countRuns(ctx context.Context, servers []Process) (map[string]int, error) {
	runs := map[string]int{}
	for _, server := range servers {
		if err := addRuns(ctx, server, runs); err != nil {
			return nil, errors.WithMessage(err, server.Instance)
		}
	}
	return runs, nil
}

func addRuns(ctx context.Context, server Process, runs map[string]int) error {
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
			runs[execution.Key]++
		}
	}
}

// checkRuns compares what callers were told with what was run. It returns the first breach it finds.
func checkRuns(told map[string]proxy.Outcome, runs map[string]int) error {
	for key, outcome := range told {
		n := runs[key]
		if n > 1 {
			return fmt.Errorf("key %s was run %d times", key, n)
		}
		if outcome == proxy.OutcomeNotRun && n != 0 {
			return fmt.Errorf("key %s was run but its caller was told not-run", key)
		}
		if outcome == proxy.OutcomeDone && n != 1 {
			return fmt.Errorf("key %s was not run but its caller got an answer", key)
		}
	}
	return nil
}

// unanswered counts the requests whose callers do not know their fate.
func unanswered(told map[string]proxy.Outcome) int {
	count := 0
	for _, outcome := range told {
		if outcome == proxy.OutcomeUnknown {
			count++
		}
	}
	return count
}
