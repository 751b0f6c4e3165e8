package gate

import (
	"net/http"
	"strconv"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/member"
)

// unknownPaceWait is the time after which a call is worth another try while the pace of a cold backend server is not known. A
// node that starts gets its configuration about as fast.
const unknownPaceWait = 200 * time.Millisecond

// Terms are what the configuration says of the calls to a backend server.
type Terms struct {
	// Unknown is set while this node has no configuration.
	Unknown bool
	// Evacuated is set while the failure domain of the backend server is evacuated; EvacuationEnded is the time at which this node
	// learned of the end of its last evacuation.
	Evacuated       bool
	EvacuationEnded time.Time
	// ColdRate is the number of calls per second that the backend server can take while it is cold, 0 for no limit, and
	// ColdStart the time for which it is cold after its start.
	ColdRate  float64
	ColdStart time.Duration
}

// coldState is what the gate knows of the coldness of the backend server beside it.
type coldState struct {
	pace *Pace
	// rate and start are the last known terms. unknown is set while there is no configuration.
	rate    float64
	start   time.Duration
	unknown bool
	// reported is the end of the coldness that a response of the backend server reported; suspected is the end of one that the gate
	// suspects, because the backend server refused connections and so has started again.
	reported, suspected time.Time
	// logged is the end of the coldness that was logged last.
	logged time.Time
}

// terms returns the terms of the backend server.
func (g *Gate) terms(info *apiv1.BackendServer) Terms {
	if g.options.Terms == nil {
		return Terms{}
	}
	return g.options.Terms(info)
}

// noteTerms records the terms of the current backend server. The caller must hold mu.
func (g *Gate) noteTerms(terms Terms) {
	g.cold.rate, g.cold.start, g.cold.unknown = terms.ColdRate, terms.ColdStart, terms.Unknown
	if !terms.EvacuationEnded.IsZero() {
		// Without calls nobody has seen whether the backend server has become cold.
		g.cold.suspect(terms.EvacuationEnded.Add(terms.ColdStart))
	}
}

// suspect extends the time for which the backend server is taken for cold.
func (c *coldState) suspect(until time.Time) {
	if until.After(c.suspected) {
		c.suspected = until
	}
}

// coldUntil returns the end of the coldness of the backend server. The caller must hold mu.
func (g *Gate) coldUntil() time.Time {
	until := g.cold.reported
	if g.options.ColdUntil != nil {
		if announced := g.options.ColdUntil(); announced.After(until) {
			until = announced
		}
	}
	if g.cold.suspected.After(until) {
		until = g.cold.suspected
	}
	return until
}

// checkPace refuses a call if the backend server is cold and may not get another one now. With take it counts a call that is
// not refused as sent.
func (g *Gate) checkPace(take bool) *calls.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	if g.cold.unknown && g.options.ColdOverrun > 0 && now.Before(g.coldUntil()) {
		return g.pacedRefusal(unknownPaceWait)
	}
	if g.cold.rate <= 0 {
		return nil
	}
	limit := coldLimit(g.cold.rate, g.options.ColdOverrun, g.options.ColdSlack)
	if until := g.coldUntil(); now.Before(until) {
		if until.After(g.cold.logged) {
			g.options.Logger.Info().Str("backend_server", g.current.instance).Dur("cold_ms", until.Sub(now)).Int("limit", limit).
				Msg("backend server is cold: calls are paced")
			g.cold.logged = until.Add(paceWindow)
		}
		if wait := g.cold.pace.Wait(limit, now); wait > 0 {
			return g.pacedRefusal(wait)
		}
	}
	if take {
		g.cold.pace.Take(limit, now)
	}
	return nil
}

// pacedRefusal counts and returns the refusal of a call that the backend server can take after the given time.
func (g *Gate) pacedRefusal(wait time.Duration) *calls.Result {
	g.pacedRefusals.Add(1)
	result := refusal(calls.ReasonCold, "the backend server is cold")
	result.RetryAfter = wait
	return result
}

// PacedRefusals returns the number of calls that were refused because the backend server was cold.
func (g *Gate) PacedRefusals() uint64 {
	return g.pacedRefusals.Load()
}

// noteRefusedConnection records that nothing listens at the address of the backend server. Whatever listens there next has just
// started.
func (g *Gate) noteRefusedConnection() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.suspect(g.options.Now().Add(breakerOpenTime + g.cold.start))
}

// readCold records what a response says of the coldness of the backend server. What was said before is never shortened,
// because reports may arrive late.
func (g *Gate) readCold(header http.Header) {
	if g.options.Headers.ColdMs == "" {
		return
	}
	ms, err := strconv.ParseFloat(header.Get(g.options.Headers.ColdMs), 64)
	if err != nil || !(ms > 0 && ms <= float64(member.MaxColdTime.Milliseconds())) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := g.options.Now().Add(time.Duration(ms * float64(time.Millisecond))); until.After(g.cold.reported) {
		g.cold.reported = until
	}
}
