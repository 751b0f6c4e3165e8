package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
	"samphireflow/internal/waltest"
)

// acknowledgedOrder is an order of an operator, or a command that the group gives itself, with what must be read back once it was
// acknowledged.
type acknowledgedOrder struct {
	name    string
	command *apiv1.Command
	inForce func(*state.View) bool
}

// acknowledgedOrders lists one order of each kind, in an order in which each is valid.
func acknowledgedOrders(t *testing.T) []acknowledgedOrder {
	body, err := state.PackBody(&apiv1.DocumentBody{Content: []byte("content"), Branches: []*apiv1.Branch{
		{Path: "/services/rota"},
		{Path: "/services/rota/routes/lookup", Settings: []*apiv1.Setting{{Key: tree.KeyRouteHost, Value: "h"}, {Key: tree.KeyRoutePrefix, Value: "/"}}},
		{Path: "/customers/clerk", Settings: []*apiv1.Setting{{Key: tree.KeyCustomerRate, Value: "5"}, {Key: tree.KeyCustomerKeyDigests, Value: "00000000000000000000000000000001"}}},
	}})
	require.NoError(t, err)
	rota := tree.Path{Level: tree.LevelService, Service: "rota"}
	clerk := tree.Path{Level: tree.LevelCustomer, Customer: "clerk"}
	moveState := func(id string) func(*state.View) apiv1.MoveState {
		return func(view *state.View) apiv1.MoveState { return view.Move(id).GetState() }
	}
	change := func(path, key, value string) *apiv1.Command {
		return &apiv1.Command{Kind: &apiv1.Command_Edit{Edit: &apiv1.EditRequest{
			EditId: "edit " + path, Branches: []*apiv1.BranchEdit{{Path: path, Changes: []*apiv1.Change{{Key: key, Value: value}}}},
		}}}
	}
	return []acknowledgedOrder{
		{"document, with keys and quotas", &apiv1.Command{Kind: &apiv1.Command_Publish{Publish: &apiv1.PublishRequest{Number: 4, PackedBody: body}}}, func(view *state.View) bool {
			rate, _ := view.Tree.Branch(clerk).Get(tree.KeyCustomerRate)
			keys, _ := view.Tree.Branch(clerk).Get(tree.KeyCustomerKeyDigests)
			return view.Document().GetNumber() == 4 && rate == "5" && keys != ""
		}},
		{"adopted version", &apiv1.Command{Kind: &apiv1.Command_Adopt{Adopt: &apiv1.AdoptVersion{Service: "rota", Version: "v1"}}}, func(view *state.View) bool {
			return view.ServiceVersion("rota") == "v1"
		}},
		{"move", &apiv1.Command{Kind: &apiv1.Command_StartMove{StartMove: &apiv1.StartMoveRequest{MoveId: "m", Service: "rota", ToVersion: "v2", DurationMs: 60_000}}}, func(view *state.View) bool {
			return moveState("m")(view) == apiv1.MoveState_MOVE_STATE_RUNNING
		}},
		{"cancelled move", &apiv1.Command{Kind: &apiv1.Command_CancelMove{CancelMove: &apiv1.CancelMoveRequest{MoveId: "m", RequestId: "c"}}}, func(view *state.View) bool {
			return moveState("m")(view) == apiv1.MoveState_MOVE_STATE_CANCELLED
		}},
		{"evacuation", change("/sites/hobart", tree.KeySiteEvacuated, "true"), func(view *state.View) bool {
			return len(view.Tree.EvacuatedDomains()) == 1
		}},
		{"edit", change("/sites/burnie", tree.KeyCallTimeout, "3s"), func(view *state.View) bool {
			value, _ := view.Tree.Branch(tree.Path{Level: tree.LevelSite, Site: "burnie"}).Get(tree.KeyCallTimeout)
			return value == "3s" && view.Tree.Branch(rota) != nil
		}},
	}
}

// acknowledged proposes a command until it is acknowledged.
func (g *group) acknowledged(command *apiv1.Command) {
	data, err := proto.Marshal(command)
	require.NoError(g.t, err)
	require.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		_, err := g.leader().Propose(ctx, data)
		return err == nil
	}, settleTimeout, tickInterval)
}

// TestAcknowledgedOrdersOutlastToleratedLosses guards against an order that was acknowledged and is gone: right after each kind of
// order all instances lose power, and as many of them as a group of that size can bear lose their disks.
func TestAcknowledgedOrdersOutlastToleratedLosses(t *testing.T) {
	for _, size := range []int{3, 4, 6} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			t.Parallel()
			g := startOpenGroup(t, uint64(size), size)
			orders := acknowledgedOrders(t)
			for i, order := range orders {
				g.acknowledged(order.command)
				for _, instance := range g.instances {
					g.stop(instance, true)
				}
				for lost := range (size - 1) / 2 {
					g.instances[(i+lost*2)%size].disk = waltest.NewDisk()
				}
				for _, instance := range g.instances {
					g.start(instance)
				}
				g.awaitVoters()
				for _, instance := range g.instances {
					_, machine := instance.running()
					for _, earlier := range orders[:i+1] {
						if earlier.name == "move" && i > 2 {
							continue
						}
						require.True(t, earlier.inForce(machine.View()), "%s at %s after %s", earlier.name, instance.name, order.name)
					}
				}
			}
		})
	}
}
