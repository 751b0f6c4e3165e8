package distribution

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/deployment"
)

// cluster is the system under test: the deployed processes and the nodes in this process.
type cluster struct {
	deployment *deployment.Deployment
	fleet      *fleet
	config     apiv1.Config
	// edits counts the submitted edits, and baseVersion is the last accepted version, on which the next edit is based.
	edits       int
	baseVersion uint64
}

const (
	// envBin names the environment variable that holds the folder of the programs. defaultBin is used when it is unset.
	envBin     = "SAMPHIREFLOW_BIN"
	defaultBin = ".run/bin"
	// pollInterval is the time between two checks of the nodes' versions.
	pollInterval = 2 * time.Millisecond
	// convergeTimeout bounds the wait until all nodes act on a version.
	convergeTimeout = 2 * time.Minute
)

// startCluster starts the control instances and the relays and submits the configuration of all services. It returns
// the cluster together with an error when the start fails midway, so that the caller can stop it.
func startCluster(ctx context.Context, dir string) (*cluster, error) {
	bin := os.Getenv(envBin)
	if bin == "" {
		bin = defaultBin
	}
	d, err := deployment.New(layout(), bin, dir)
	if err != nil {
		return nil, err
	}
	c := &cluster{deployment: d}
	if err := d.Start(ctx); err != nil {
		return c, err
	}
	f := &fleet{seeds: map[string][]string{}}
	for _, process := range d.Processes() {
		switch process.Role {
		case deployment.RoleControl:
			f.control = append(f.control, process.ControlAddr)
		case deployment.RoleNode:
			f.seeds[process.FailureDomain] = append(f.seeds[process.FailureDomain], process.ControlAddr)
		}
	}
	c.fleet = f
	c.config = apiv1.NewConfigProtobufClient("http://"+f.control[0], &http.Client{Timeout: 10 * time.Second})
	_, err = c.submit(ctx, serviceEdits())
	return c, err
}

// stop stops the nodes in this process and all deployed processes.
func (c *cluster) stop() error {
	if c.fleet != nil {
		c.fleet.stopAll()
	}
	return c.deployment.Stop()
}

func (c *cluster) submit(ctx context.Context, branches []*apiv1.BranchEdit) (uint64, error) {
	c.edits++
	request := &apiv1.EditRequest{EditId: fmt.Sprintf("bench-%d", c.edits), Operator: "bench", Branches: branches}
	response, err := c.config.Edit(ctx, request)
	if err != nil {
		return 0, errors.Wrap(err, "edit")
	}
	if response.Outcome != apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		return 0, errors.Errorf("edit not accepted: %s %s", response.Outcome, response.Detail)
	}
	c.baseVersion = response.Version
	return response.Version, nil
}

// edit changes one setting of one service and returns the accepted version.
func (c *cluster) edit(ctx context.Context) (uint64, error) {
	return c.submit(ctx, []*apiv1.BranchEdit{{
		Path:        "/services/" + serviceName(0),
		BaseVersion: c.baseVersion,
		Changes:     changes("call.timeout", fmt.Sprintf("%dms", 1000+c.edits)),
	}})
}

// pids lists the process IDs of one role.
func (c *cluster) pids(role deployment.Role) []int {
	var list []int
	for _, process := range c.byRole(role) {
		list = append(list, process.PID)
	}
	return list
}

func (c *cluster) byRole(role deployment.Role) []deployment.Process {
	var list []deployment.Process
	for _, process := range c.deployment.Processes() {
		if process.Role == role {
			list = append(list, process)
		}
	}
	return list
}

// awaitVersion waits until all nodes in this process act on the version or a newer one.
func (c *cluster) awaitVersion(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		behind := c.fleet.countBehind(version)
		if behind == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%d of %d nodes are behind version %d", behind, len(c.fleet.nodes), version)
		case <-ticker.C:
		}
	}
}
