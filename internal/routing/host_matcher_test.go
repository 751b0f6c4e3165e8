package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// hostRoute returns a route by host and path prefix.
func hostRoute(name, host, prefix string) *apiv1.RouteConfig {
	return &apiv1.RouteConfig{Name: name, Settings: []*apiv1.Setting{{Key: tree.KeyRouteHost, Value: host}, {Key: tree.KeyRoutePrefix, Value: prefix}}}
}

// TestCallsOfOneRouteDoNotGoToAnother guards against a route that takes the calls of another one, whose host is written in another
// way. State of earlier releases holds such routes.
func TestCallsOfOneRouteDoNotGoToAnother(t *testing.T) {
	for _, other := range []string{"Plaza.example", "PLAZA.EXAMPLE", "plaza.example:80", "plaza.example.", "Plaza.example.:8080"} {
		for _, names := range [][2]string{{"a-book", "b-other"}, {"b-book", "a-other"}} {
			book, second := hostRoute(names[0], "plaza.example", "/book/"), hostRoute(names[1], other, "/book/")
			for _, routes := range [][]*apiv1.RouteConfig{{book, second}, {second, book}} {
				table := Build(&apiv1.Snapshot{Routes: routes}, nil, NewRegistry())
				for _, host := range []string{"plaza.example", "pLAZA.example", "plaza.example:8304", "plaza.EXAMPLE."} {
					if host != other {
						require.Equal(t, names[0], table.MatchHost(host, "/book/7").Config.Name, "%s beside %s", host, other)
					}
				}
				require.Equal(t, names[1], table.MatchHost(other, "/book/7").Config.Name, other)
				require.Equal(t, []string{min(names[0], names[1]), max(names[0], names[1])}, table.SharedRoutes())
			}
		}
	}
}

// TestCallsThatSeveralRoutesMatchGoToNone guards against a choice among routes that nothing tells apart.
func TestCallsThatSeveralRoutesMatchGoToNone(t *testing.T) {
	table := Build(&apiv1.Snapshot{Routes: []*apiv1.RouteConfig{
		hostRoute("a", "Plaza.example", "/book/"), hostRoute("b", "PLAZA.example", "/book/"), hostRoute("c", "plaza.example", "/"),
	}}, nil, NewRegistry())
	require.Equal(t, "a", table.MatchHost("Plaza.example", "/book/7").Config.Name)
	require.Equal(t, "b", table.MatchHost("PLAZA.example", "/book/7").Config.Name)
	require.Nil(t, table.MatchHost("plaza.example", "/book/7"))
	require.True(t, table.AmbiguousHost("plaza.example", "/book/7"))
	require.Equal(t, "c", table.MatchHost("PLAZA.EXAMPLE", "/list/").Config.Name, "other prefixes of the host are not concerned")
	require.False(t, table.AmbiguousHost("plaza.example", "/list/"))
	require.False(t, table.AmbiguousHost("other.example", "/book/7"))
}

// TestRoutesAreFoundUnderEachSpellingOfTheirHost guards against a route that is accepted and takes no calls.
func TestRoutesAreFoundUnderEachSpellingOfTheirHost(t *testing.T) {
	spellings := []string{"plaza.example", "Plaza.Example", "plaza.example:80", "plaza.example.", "plaza.example.:9000"}
	for _, written := range spellings {
		table := Build(&apiv1.Snapshot{Routes: []*apiv1.RouteConfig{hostRoute("book", written, "/book/"), hostRoute("other", "other.example", "/book/")}}, nil, NewRegistry())
		for _, called := range spellings {
			require.Equal(t, "book", table.MatchHost(called, "/book/7").Config.Name, "%s called as %s", written, called)
		}
		require.Empty(t, table.SharedRoutes())
	}
}
