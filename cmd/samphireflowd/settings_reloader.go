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

// reloadInterval is the interval at which the settings file is checked for changes that no signal announces.
const reloadInterval = 2 * time.Second

// settingsReloader applies changes of a settings file while the process runs. Its zero value watches no file.
type settingsReloader struct {
	path    string
	signals <-chan os.Signal
}

// run applies changes until ctx ends. A file that cannot be loaded leaves the settings unchanged.
func (r settingsReloader) run(ctx context.Context, current *settings.Settings, d *daemon.Daemon, logger zerolog.Logger) {
	if r.path == "" {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModified := modificationTime(r.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		case <-ticker.C:
			if modificationTime(r.path) == lastModified {
				continue
			}
		}
		// Read the time before the file, so that the next check detects a change in between.
		lastModified = modificationTime(r.path)
		next, err := platform.Load(r.path)
		if err != nil {
			logger.Error().Err(err).Msg("changed settings cannot be used; the old ones stay in force")
			continue
		}
		applyReloadable(current, &next.Settings, d, logger)
	}
}

// modificationTime returns the time of the last change of a file. It returns the zero time on an error; the next check
// tries again.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// applyReloadable applies the settings that can change in a running process, and logs whether any other setting has
// changed, which needs a restart.
func applyReloadable(current, next *settings.Settings, d *daemon.Daemon, logger zerolog.Logger) {
	d.LearnControlAddrs(next.ControlSeeds)
	withoutReloadable := *next
	withoutReloadable.ControlSeeds = current.ControlSeeds
	withoutReloadable.Bootstrap = current.Bootstrap
	event := logger.Info().Strs("control_seeds", next.ControlSeeds)
	if !reflect.DeepEqual(withoutReloadable, *current) {
		event = event.Bool("restart_needed", true)
	}
	event.Msg("settings read again")
}
