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

// demoTimeout bounds the demo, its end included.
const demoTimeout = 110 * time.Second

// demo is a running demo.
type demo struct {
	*Deployment
	report  *report
	traffic *traffic
	// killed is the node that the demo has killed.
	killed Process
}

// step is one part of the demo. It returns the figures of its line.
type step struct {
	what string
	run  func(ctx context.Context) (string, error)
}

// Demo starts a deployment in a folder of its own below dir, drives it, prints a table and ends what it started. It
// returns an error if a line of the table is not met.
func Demo(ctx context.Context, layout Layout, binDir, dir string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make the folder")
	}
	folder, err := os.MkdirTemp(dir, "demo-")
	if err != nil {
		return errors.Wrap(err, "make the demo's folder")
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
		return errors.Errorf("%d lines are not met; the logs are in %s", missed, folder)
	}
	return errors.Wrap(os.RemoveAll(folder), "remove the demo's folder")
}

// runSteps runs all steps; if the start fails, only the end follows.
func (d *demo) runSteps(ctx context.Context) {
	if d.do(ctx, step{"all processes run and every node answers calls", d.stepStart}) {
		d.traffic = startTraffic(d.layout, byRole(d.Processes(), RoleNode))
		d.drive(ctx)
		d.traffic.stop()
		d.do(ctx, step{"every answer is whole and belongs to its request", d.stepAnswers})
		d.do(ctx, step{"no process ended that was not told to", d.stepRan})
		d.do(ctx, step{"no booking ran twice, none that was told not-run ran", d.stepRuns})
	}
	d.do(ctx, step{"every process that the demo started has ended", d.stepStop})
}

func (d *demo) drive(ctx context.Context) {
	steps := []step{
		{"an edit at the top of the tree holds on every node", d.stepEditTop},
		{"an override on a lower branch wins there", d.stepOverride},
		{"calls from every failure domain are answered", d.stepCalls},
		{"a good version takes over by its deadline, a control instance and a node killed", d.stepGoodVersion},
		{"an edit after that is in force on every node left", d.stepEditAfterKill},
		{"a bad version is taken back", d.stepBadVersion},
		{"calls from every failure domain are answered still", d.stepCalls},
	}
	for _, step := range steps {
		d.do(ctx, step)
	}
}

// do runs one step, adds its line and reports whether it was met.
func (d *demo) do(ctx context.Context, step step) bool {
	figure, err := step.run(ctx)
	d.report.add(step.what, figure, err)
	return err == nil
}

// nodes returns the nodes that run.
func (d *demo) nodes() []Process {
	var list []Process
	for _, node := range byRole(d.Processes(), RoleNode) {
		if node.PID != d.killed.PID {
			list = append(list, node)
		}
	}
	return list
}

// seconds writes a duration for the table.
func seconds(duration time.Duration) string {
	return fmt.Sprintf("%.2f s", duration.Seconds())
}
