package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

const testTimeout = 20 * time.Second

// startTwirpGroup starts a group of replicas that communicate over the loopback interface. Configure changes the options of the one
// with the given number.
func startTwirpGroup(t *testing.T, count int, configure func(number int, options *Options)) []*Replica {
	var members []Member
	var listeners []net.Listener
	for i := 0; i < count; i++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, listener)
		members = append(members, Member{ID: fmt.Sprintf("c%d", i), ControlAddr: listener.Addr().String()})
	}
	var replicas []*Replica
	for i, member := range members {
		options := Options{
			ID: member.ID, ClusterID: "test", Dir: t.TempDir(), InitialMembers: members, StateMachine: &recordingStateMachine{},
			Transport: NewTwirpTransport(TwirpOptions{ClusterID: "test", OwnAddr: member.ControlAddr, Logger: zerolog.Nop()}),
			Logger:    zerolog.Nop(),
		}
		configure(i, &options)
		r, err := Open(options)
		require.NoError(t, err)
		replicas = append(replicas, r)
		server := &http.Server{Handler: apiv1.NewReplicationServer(r.ReplicationServer()), Protocols: &http.Protocols{}}
		server.Protocols.SetUnencryptedHTTP2(true)
		go server.Serve(listeners[i])
		t.Cleanup(func() {
			server.Close()
			r.Close()
		})
	}
	return replicas
}

// proposeToLeader proposes a command to the first replica and, if that names another leader, to the leader.
func proposeToLeader(ctx context.Context, replicas []*Replica, data string) ([]byte, error) {
	target := replicas[0]
	for {
		result, err := target.Propose(ctx, []byte(data))
		leader, known := LeaderOf(err)
		if !known {
			return result, err
		}
		for _, r := range replicas {
			if r.Status().ID == leader.ID {
				target = r
			}
		}
	}
}

func TestReplicasOverTwirpAgreeOnLog(t *testing.T) {
	for _, count := range []int{1, 3} {
		replicas := startTwirpGroup(t, count, func(int, *Options) {})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		for i := 0; i < 10; i++ {
			result, err := proposeToLeader(ctx, replicas, fmt.Sprint(i))
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("done ", i), string(result))
		}
		for _, r := range replicas {
			require.NoError(t, r.ReadIndex(ctx))
			require.Len(t, r.options.StateMachine.(*recordingStateMachine).commands, 10)
		}
	}
}

// TestLargeEntriesBringForwardSnapshot guards against a log of large entries that a starting instance cannot load, because
// snapshots were taken by the number of entries only.
func TestLargeEntriesBringForwardSnapshot(t *testing.T) {
	const entryBytes, snapshotBytes = 1000, 10_000
	r, err := Open(Options{
		ID: "c0", ClusterID: "test", Dir: t.TempDir(), InitialMembers: []Member{{ID: "c0", ControlAddr: "127.0.0.1:1"}},
		StateMachine: &recordingStateMachine{}, Transport: NewTwirpTransport(TwirpOptions{ClusterID: "test", Logger: zerolog.Nop()}),
		Logger: zerolog.Nop(), SnapshotBytes: snapshotBytes, RetainedEntries: 1,
	})
	require.NoError(t, err)
	defer r.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 100 {
		_, err := r.Propose(ctx, make([]byte, entryBytes))
		require.NoError(t, err)
	}
	var unsnapshotted uint64
	require.NoError(t, r.runOnLoop(ctx, func() { unsnapshotted = r.node.LastIndex() - r.node.SnapshotIndex() }))
	require.LessOrEqual(t, unsnapshotted, uint64(snapshotBytes/entryBytes))
}

// TestWaitingProposalsAreBoundedByBytes guards against an instance without a leader whose memory fills with proposals.
func TestWaitingProposalsAreBoundedByBytes(t *testing.T) {
	r := &Replica{}
	var waiting []*proposal
	for range 4 {
		p := &proposal{data: make([]byte, maxWaitingBytes/3), done: make(chan proposalResult, 1)}
		r.waitForLeader(p)
		waiting = append(waiting, p)
	}
	require.Len(t, r.waitingProposals, 3)
	require.ErrorIs(t, (<-waiting[3].done).err, ErrNoQuorum)
}
