package control

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"samphireflow/internal/replica"
)

// forwardedHeader marks a request that one control instance passed on to another, which does not pass it on again.
const forwardedHeader = "Samphireflow-Forwarded"

type forwardedKey struct{}

// rememberForwarded keeps the mark of a forwarded request in its context.
func rememberForwarded(next http.Handler) http.Handler {
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

// errNoLeader is returned when no leader can be asked; the request has no effect.
var errNoLeader = errors.New("no leader is known")

// forward returns the base URL of the leader and a context that marks the request, after err told that this
// instance does not lead.
func (s *Server) forward(ctx context.Context, err error) (context.Context, string, error) {
	leader, ok := replica.LeaderOf(err)
	if !ok || isForwarded(ctx) {
		return ctx, "", errors.Wrap(errNoLeader, err.Error())
	}
	header := http.Header{forwardedHeader: []string{s.options.Instance}}
	marked, err := twirp.WithHTTPRequestHeaders(ctx, header)
	return marked, "http://" + leader.ControlAddr, err
}
