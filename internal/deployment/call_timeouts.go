package deployment

import (
	"context"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// awaitTimeouts waits until every node has applied the expected call timeout of each service to all its routes.
func awaitTimeouts(ctx context.Context, nodes []Process, expected func(service string) time.Duration) error {
	for _, node := range nodes {
		err := poll(ctx, "the edit at "+node.Instance, func(ctx context.Context) error {
			return checkTimeouts(ctx, node, expected)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// checkTimeouts returns an error unless all routes at a node have the expected call timeouts.
func checkTimeouts(ctx context.Context, node Process, expected func(service string) time.Duration) error {
	client := apiv1.NewInspectProtobufClient("http://"+node.ControlAddr, pollClient)
	applied, err := client.Applied(ctx, &apiv1.AppliedRequest{Whole: true})
	if err != nil {
		return errors.Wrap(err, "read the applied configuration")
	}
	if len(applied.GetSnapshot().GetRoutes()) == 0 {
		return errors.New("no routes are applied")
	}
	for _, route := range applied.Snapshot.Routes {
		if got := timeoutOf(route); got != expected(route.Service) {
			return errors.Errorf("route %s of %s has %s %s", route.Name, route.Service, tree.KeyCallTimeout, got)
		}
	}
	return nil
}

// timeoutOf returns the call timeout of a route; 0 if it has none.
func timeoutOf(route *apiv1.RouteConfig) time.Duration {
	for _, setting := range route.Settings {
		if setting.Key == tree.KeyCallTimeout {
			// An invalid duration counts as no timeout.
			timeout, _ := time.ParseDuration(setting.Value)
			return timeout
		}
	}
	return 0
}
