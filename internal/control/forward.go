package control

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"samphireflow/internal/replica"
)

// forwardedHeader marks a request that another control instance has forwarded. Such a request is not forwarded again, so
// that instances which disagree on the leader cannot forward it in a loop.
const forwardedHeader = "Samphireflow-Forwarded"

type forwardedKey struct{}

// markForwarded marks the context of a request that has the header of a forwarded one.
func markForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) != "" {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

func isForwarded(ctx context.Context) bool {
	return ctx.Value(forwardedKey{}) != nil
}

// errNoLeader is the error of a request that has no effect, because no leader is known or because the request was forwarded
// here by another instance and is not forwarded again.
var errNoLeader = errors.New("no leader is known")

// forwardTarget returns the base URL of the leader, and a context that marks the request as forwarded. The leader is taken
// from err, with which the replica refused the proposal because it does not lead.
func (s *Server) forwardTarget(ctx context.Context, err error) (context.Context, string, error) {
	leader, ok := replica.LeaderOf(err)
	if !ok || isForwarded(ctx) {
		return ctx, "", errors.Wrap(errNoLeader, err.Error())
	}
	header := http.Header{forwardedHeader: []string{s.options.Instance}}
	marked, err := twirp.WithHTTPRequestHeaders(ctx, header)
	return marked, "http://" + leader.ControlAddr, err
}
