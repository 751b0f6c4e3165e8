package backup_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/backup"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
	"samphireflow/internal/tree"
	"samphireflow/internal/wal"
)

const testTimeout = 20 * time.Second

// run starts a group of one with a data folder.
func run(t *testing.T, dir string) (*replica.Replica, *state.Machine) {
	machine := state.NewMachine()
	member := replica.Member{ID: "c0", ControlAddr: "127.0.0.1:1"}
	r, err := replica.Open(replica.Options{
		ID: "c0", ClusterID: "test", Dir: dir, Members: []replica.Member{member}, StateMachine: machine,
		Transport: replica.NewTwirpTransport(replica.TwirpOptions{ClusterID: "test", Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
	})
	require.NoError(t, err)
	return r, machine
}

func edit(ctx context.Context, t *testing.T, r *replica.Replica, id string, base uint64) *apiv1.EditResponse {
	data, err := proto.Marshal(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: &apiv1.EditRequest{EditId: id, Branches: []*apiv1.BranchEdit{{
		Path: "/", BaseVersion: base, Changes: []*apiv1.Change{{Key: tree.KeyCallTimeout, Value: "2s"}},
	}}}}})
	require.NoError(t, err)
	encoded, err := r.Propose(ctx, data)
	require.NoError(t, err)
	result := &apiv1.CommandResult{}
	require.NoError(t, proto.Unmarshal(encoded, result))
	return result.Edit
}

func TestRestoredGroupHoldsEveryAcceptedEditAndAnswer(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	dir, file, restored := t.TempDir(), t.TempDir()+"/backup", t.TempDir()
	_, err := backup.Write(wal.OS{}, dir, file)
	require.ErrorIs(t, err, backup.ErrNoState)
	first, _ := run(t, dir)
	for i := uint64(0); i < 5; i++ {
		require.Equal(t, i+1, edit(ctx, t, first, fmt.Sprint(i), i).Version)
	}
	require.NoError(t, first.Close())
	summary, err := backup.Write(wal.OS{}, dir, file)
	require.NoError(t, err)
	require.Equal(t, uint64(5), summary.Version)
	member := replica.Member{ID: "c0", ControlAddr: "127.0.0.1:1"}
	_, err = backup.Restore(wal.OS{}, file, dir, member)
	require.ErrorIs(t, err, backup.ErrHasState)
	_, err = backup.Restore(wal.OS{}, file, restored, member)
	require.NoError(t, err)
	second, machine := run(t, restored)
	defer second.Close()
	require.NoError(t, second.ReadIndex(ctx))
	require.Equal(t, uint64(5), machine.View().Version)
	again := edit(ctx, t, second, "3", 3)
	require.True(t, again.RepeatedAnswer)
	require.Equal(t, uint64(4), again.Version)
	require.Equal(t, uint64(6), edit(ctx, t, second, "new", 5).Version)
}
