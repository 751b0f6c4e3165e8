package main

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/rs/zerolog"

	"samphireflow/internal/daemon"
	"samphireflow/internal/settings"
	"samphireflow/platform"
)

// reloadInterval is the time between looks at a settings file that may change without a signal.
const reloadInterval = 2 * time.Second

// reload follows a settings file that changes while the process runs. Its zero value follows none.
type reload struct {
	path    string
	signals <-chan os.Signal
}

// run applies changes until the context ends. A file that cannot be read leaves the settings as they are.
func (r reload) run(ctx context.Context, current *settings.Settings, d *daemon.Daemon, logger zerolog.Logger) {
	if r.path == "" {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	seen := modified(r.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		case <-ticker.C:
			if modified(r.path) == seen {
				continue
			}
		}
		// Looked at before the file is read: a change in between is seen at the next look.
		seen = modified(r.path)
		next, err := platform.Load(r.path)
		if err != nil {
			logger.Error().Err(err).Msg("changed settings cannot be used; the old ones stay in force")
			continue
		}
		apply(current, &next.Settings, d, logger)
	}
}

// modified is the time of the last change of a file, zero when it cannot be told: then the next look tells.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// apply puts in force what can change in a running process, and names what cannot.
func apply(current, next *settings.Settings, d *daemon.Daemon, logger zerolog.Logger) {
	d.LearnControlAddrs(next.ControlSeeds)
	fixed := *next
	fixed.ControlSeeds = current.ControlSeeds
	fixed.Bootstrap = current.Bootstrap
	event := logger.Info().Strs("control_seeds", next.ControlSeeds)
	if !reflect.DeepEqual(fixed, *current) {
		event = event.Bool("restart_needed", true)
	}
	event.Msg("settings read again")
}
