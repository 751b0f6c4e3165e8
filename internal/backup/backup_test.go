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

// openReplica starts a replica on a data folder, as the only member of its group.
func openReplica(t *testing.T, dir string) (*replica.Replica, *state.Machine) {
	machine := state.NewMachine()
	member := replica.Member{ID: "c0", ControlAddr: "127.0.0.1:1"}
	r, err := replica.Open(replica.Options{
		ID: "c0", ClusterID: "test", Dir: dir, InitialMembers: []replica.Member{member}, StateMachine: machine,
		Transport: replica.NewTwirpTransport(replica.TwirpOptions{ClusterID: "test", Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
	})
	require.NoError(t, err)
	return r, machine
}

func proposeEdit(ctx context.Context, t *testing.T, r *replica.Replica, id string, base uint64) *apiv1.EditResponse {
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

func TestRestoredGroupKeepsAcceptedEditsAndTheirResults(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	dir, backupFile, restoredDir := t.TempDir(), t.TempDir()+"/backup", t.TempDir()
	_, err := backup.Write(wal.OS{}, dir, backupFile)
	require.ErrorIs(t, err, backup.ErrNoState)
	original, _ := openReplica(t, dir)
	for i := uint64(0); i < 5; i++ {
		require.Equal(t, i+1, proposeEdit(ctx, t, original, fmt.Sprint(i), i).Version)
	}
	require.NoError(t, original.Close())
	summary, err := backup.Write(wal.OS{}, dir, backupFile)
	require.NoError(t, err)
	require.Equal(t, uint64(5), summary.Version)
	member := replica.Member{ID: "c0", ControlAddr: "127.0.0.1:1"}
	_, err = backup.Restore(wal.OS{}, backupFile, dir, member)
	require.ErrorIs(t, err, backup.ErrHasState)
	_, err = backup.Restore(wal.OS{}, backupFile, restoredDir, member)
	require.NoError(t, err)
	restoredReplica, machine := openReplica(t, restoredDir)
	defer restoredReplica.Close()
	require.NoError(t, restoredReplica.ReadIndex(ctx))
	require.Equal(t, uint64(5), machine.View().Version)
	repeated := proposeEdit(ctx, t, restoredReplica, "3", 3)
	require.True(t, repeated.RepeatedAnswer)
	require.Equal(t, uint64(4), repeated.Version)
	require.Equal(t, uint64(6), proposeEdit(ctx, t, restoredReplica, "new", 5).Version)
}
