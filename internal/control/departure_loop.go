package control

import (
	"context"
	"time"

	"samphireflow/internal/periodic"
)

// departureInterval is the time between two checks for departures that came from other control instances.
const departureInterval = time.Second

// departureLoop stores the departures that this instance has learned from others. Those that its own nodes announce are stored
// before they are confirmed. It also records the failure domains of the members, which outlast their leases.
func (s *Server) departureLoop(ctx context.Context) error {
	return periodic.Run(ctx, departureInterval, func(time.Time) {
		// A failure is logged, and the next run tries again.
		_ = s.departureSaver.Wait(ctx)
		s.learnDomains()
	})
}

// saveDepartures stores all departures that the table of members holds. It logs a failure when it follows a success. Only
// departureSaver calls it.
func (s *Server) saveDepartures() error {
	if s.options.Departures == nil {
		return nil
	}
	err := s.options.Departures.Save(s.members.Drains())
	if failing := err != nil; s.departuresFailing.Swap(failing) != failing {
		s.options.Logger.Info().Bool("stored", !failing).AnErr("cause", err).Msg("storage of departures changed")
	}
	return err
}
