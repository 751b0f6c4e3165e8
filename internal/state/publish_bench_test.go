package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// benchDocument returns the command that publishes a document with many routes of one service. Only the last route
// depends on the number of the document.
func benchDocument(tb testing.TB, number, base uint64, routes int) []byte {
	body := &apiv1.DocumentBody{Branches: []*apiv1.Branch{{Path: "/"}, {Path: "/services/rota"}}}
	for i := range routes {
		prefix := fmt.Sprintf("/p%d/", i)
		if i == routes-1 {
			prefix = fmt.Sprintf("/p%d-%d/", i, number)
		}
		body.Branches = append(body.Branches, &apiv1.Branch{Path: fmt.Sprintf("/services/rota/routes/r%d", i), Settings: []*apiv1.Setting{
			{Key: tree.KeyRouteHost, Value: "rota.example"}, {Key: tree.KeyRoutePrefix, Value: prefix},
			{Key: tree.KeyRouteIdempotent, Value: "true"}, {Key: tree.KeyCallTimeout, Value: "1s"},
			{Key: tree.KeyRouteObjective, Value: "300ms"}, {Key: tree.KeyRoutePriority, Value: "0"}, {Key: tree.KeyRouteAttempts, Value: "2"},
		}})
		body.Content = append(body.Content, prefix...)
	}
	packedBody, err := PackBody(body)
	require.NoError(tb, err)
	command := &apiv1.Command{Kind: &apiv1.Command_Publish{Publish: &apiv1.PublishRequest{Number: number, BaseNumber: base, PackedBody: packedBody}}}
	data, err := proto.Marshal(command)
	require.NoError(tb, err)
	return data
}

// BenchmarkPublish measures the publication of a document that changes one route of 500. A control instance that restarts
// repeats this work for each document in its log.
func BenchmarkPublish(b *testing.B) {
	m := NewMachine()
	var documents [][]byte
	for i := range b.N + 1 {
		documents = append(documents, benchDocument(b, uint64(i+1), uint64(i), 500))
	}
	m.Apply(1, 1, documents[0])
	b.ResetTimer()
	for i := range b.N {
		m.Apply(uint64(i+2), 1, documents[i+1])
	}
	require.EqualValues(b, b.N+1, m.View().Document().Number)
}

// BenchmarkSnapshot measures the encoding of a state whose history is as large as it gets. The loop of a control instance
// does nothing else meanwhile.
func BenchmarkSnapshot(b *testing.B) {
	m := NewMachine()
	for number := uint64(1); number <= 40; number++ {
		m.Apply(number, 1, changeAllRoutes(b, number))
	}
	b.ResetTimer()
	for range b.N {
		_, err := m.Snapshot()
		require.NoError(b, err)
	}
}
