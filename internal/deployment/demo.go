package deployment

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// demoTimeout bounds the demo, including the shutdown of its processes.
const demoTimeout = 110 * time.Second

// demo is a running demo.
type demo struct {
	*Deployment
	report  *report
	traffic *traffic
	// killedNode is the node that the demo has killed; empty before that.
	killedNode Process
}

// step is one step of the demo and one line of its report.
type step struct {
	description string
	// run performs the step and returns the figures to report.
	run func(ctx context.Context) (string, error)
}

// Demo starts a deployment in a new folder below dir, runs the steps of the demo, stops the deployment and prints a
// table of the results. It returns an error if a step failed.
func Demo(ctx context.Context, layout Layout, binDir, dir string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create the folder")
	}
	folder, err := os.MkdirTemp(dir, "demo-")
	if err != nil {
		return errors.Wrap(err, "create the demo's folder")
	}
	deployment, err := New(layout, binDir, folder)
	if err != nil {
		return err
	}
	d := &demo{Deployment: deployment, report: &report{out: out}}
	fmt.Fprintf(out, "demo of %s, logs in %s\n", layout.Name, filepath.Join(folder, "logs"))
	d.runSteps(ctx)
	d.report.print()
	if missed := d.report.missed(); missed > 0 {
		return errors.Errorf("%d steps of the demo failed; the logs are in %s", missed, folder)
	}
	return errors.Wrap(os.RemoveAll(folder), "remove the demo's folder")
}

// runSteps runs all steps. If the deployment fails to start, only the last step, which stops it, follows.
func (d *demo) runSteps(ctx context.Context) {
	if d.runStep(ctx, step{"all processes run and every node answers calls", d.stepStart}) {
		d.traffic = startTraffic(d.layout, byRole(d.Processes(), RoleNode))
		d.runScenario(ctx)
		d.traffic.stop()
		d.runStep(ctx, step{"every response is complete and belongs to its request", d.stepResponses})
		d.runStep(ctx, step{"no process exited unexpectedly", d.stepCheckRunning})
		d.runStep(ctx, step{"no booking ran twice, and none reported as not-run ran", d.stepExecutions})
	}
	d.runStep(ctx, step{"every process that the demo started has exited", d.stepStop})
}

// runScenario runs the steps between the start and the final checks, while callers send requests.
func (d *demo) runScenario(ctx context.Context) {
	steps := []step{
		{"an edit at the root of the tree is in force on every node", d.stepEditRoot},
		{"an override on a lower branch takes precedence there", d.stepOverride},
		{"calls from every failure domain are answered", d.stepCalls},
		{"a good version takes over by its deadline while a control instance and a node are killed", d.stepGoodVersion},
		{"a later edit is in force on every remaining node", d.stepEditAfterKill},
		{"a bad version is taken back", d.stepBadVersion},
		{"calls from every failure domain are still answered", d.stepCalls},
	}
	for _, step := range steps {
		d.runStep(ctx, step)
	}
}

// runStep runs one step, adds it to the report and reports whether it succeeded.
func (d *demo) runStep(ctx context.Context, step step) bool {
	figures, err := step.run(ctx)
	d.report.add(step.description, figures, err)
	return err == nil
}

// runningNodes returns all nodes except the one that the demo has killed.
func (d *demo) runningNodes() []Process {
	var list []Process
	for _, node := range byRole(d.Processes(), RoleNode) {
		if node.PID != d.killedNode.PID {
			list = append(list, node)
		}
	}
	return list
}

// formatSeconds formats a duration for the report.
func formatSeconds(duration time.Duration) string {
	return fmt.Sprintf("%.2f s", duration.Seconds())
}
