package deployment

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

func (d *demo) stepStart(ctx context.Context) (string, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.Start(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d processes, %s", len(d.Processes()), formatSeconds(time.Since(started))), nil
}

// stepCheckRunning checks that no process has exited except the two that killLeaderAndNode killed.
func (d *demo) stepCheckRunning(context.Context) (string, error) {
	if err := d.CheckRunning(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d processes, 2 of them killed", len(d.Processes())), nil
}

func (d *demo) stepStop(context.Context) (string, error) {
	started := time.Now()
	if err := d.Stop(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d processes, %s", len(d.Processes()), formatSeconds(time.Since(started))), nil
}

// killLeaderAndNode kills the leader of the control group and the last node of the first service.
func (d *demo) killLeaderAndNode(ctx context.Context) error {
	control, err := d.leader(ctx)
	if err != nil {
		return err
	}
	service := d.layout.Services[0].Name
	for _, node := range byRole(d.Processes(), RoleNode) {
		if node.Service == service {
			d.killedNode = node
		}
	}
	d.expectExit(control, d.killedNode)
	signalAll([]Process{control, d.killedNode}, syscall.SIGKILL)
	return nil
}

// leader returns the leader of the control group.
func (d *demo) leader(ctx context.Context) (Process, error) {
	controls := byRole(d.Processes(), RoleControl)
	for _, control := range controls {
		client := apiv1.NewStatusProtobufClient("http://"+control.ControlAddr, pollClient)
		status, err := client.Get(ctx, &apiv1.StatusRequest{})
		if err == nil && status.Leader == control.Instance {
			return control, nil
		}
	}
	return Process{}, errors.New("no control instance reports that it leads")
}
