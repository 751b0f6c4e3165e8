package resources

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

// sweepInterval is the time between two searches for connections that have reached their end.
const sweepInterval = time.Second

// Keeper applies the decisions of an Account to real connections.
type Keeper struct {
	account *Account
	logger  zerolog.Logger
}

// NewKeeper returns a keeper of the account.
func NewKeeper(account *Account, logger zerolog.Logger) *Keeper {
	return &Keeper{account: account, logger: logger}
}

// Run closes the connections that have reached their end, until ctx ends. At most once per sweepInterval it logs what was
// refused since the last time.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	logged := map[string]Refusals{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		closeAll(k.account.Sweep(time.Now()))
		for _, status := range k.account.Status() {
			k.logRefusals(status, logged[status.Class])
			logged[status.Class] = status.Refusals
		}
	}
}

// logRefusals logs what a class has refused since it was logged before.
func (k *Keeper) logRefusals(status ClassStatus, before Refusals) {
	if status.Refusals == before {
		return
	}
	k.logger.Warn().Str("listener", status.Class).Int("connections", status.Conns).Int64("held_bytes", status.Held).
		Int("refused_connections", status.Refusals.Connections-before.Connections).
		Int("refused_requests", status.Refusals.Requests-before.Requests).
		Int("displaced", status.Refusals.Displaced-before.Displaced).
		Int("stalled", status.Refusals.Stalled-before.Stalled).
		Int("unbuffered", status.Refusals.Unbuffered-before.Unbuffered).
		Msg("clients were refused or disconnected for want of room or progress")
}

func closeAll(entries []*Entry) {
	for _, e := range entries {
		e.close()
	}
}
