// Command samphireflowd is the daemon of samphireflow: a node, a control instance, or both.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/daemon"
	"samphireflow/internal/logs"
	"samphireflow/internal/node"
	"samphireflow/internal/settings"
	"samphireflow/internal/tracing"
	"samphireflow/platform"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if path, ok := platform.SettingsPath(); ok {
		return runOnPlatform(path)
	}
	s, err := settings.Parse(args, os.Stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, settings.ErrUsage):
		fmt.Fprintln(os.Stderr, "samphireflowd:", err)
		return exitUsage
	case err != nil:
		fmt.Fprintln(os.Stderr, "samphireflowd:", err)
		return exitSettings
	}
	if s.Check {
		fmt.Println("the settings are valid")
		return exitOK
	}
	return serve(s, daemon.PlatformOptions{Headers: calls.DefaultHeaders()}, os.Stderr, settingsReloader{})
}

// runOnPlatform runs the daemon with the platform's settings file.
func runOnPlatform(path string) int {
	processConfig, err := platform.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphireflowd:", err)
		return exitSettings
	}
	output, closeOutput := logs.NewWriter(os.Stdout)
	defer closeOutput()
	return serve(&processConfig.Settings, newPlatformOptions(processConfig), output, settingsReloader{path: path, signals: notifyHangup()})
}

// notifyHangup returns a channel that receives SIGHUP. By default the signal would end the process, so this is called
// before anything that takes time.
func notifyHangup() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

func newPlatformOptions(processConfig *platform.ProcessConfig) daemon.PlatformOptions {
	return daemon.PlatformOptions{
		Headers: platform.Headers(),
		OperatorHandler: func(config apiv1.Config, moves apiv1.Moves, evacuations apiv1.Evacuations, logger zerolog.Logger) http.Handler {
			return platform.OperatorHandler(platform.ControlServices{Config: config, Moves: moves, Evacuations: evacuations, Logger: logger})
		},
		AnnounceAddr:    processConfig.AnnounceAddr,
		AnnounceHandler: func(n *node.Node) http.Handler { return platform.AnnouncementHandler(n) },
		ReadyAddr:       processConfig.ReadyAddr,
		ReadyHandler:    platform.ReadyHandler,
	}
}

func serve(s *settings.Settings, platformOptions daemon.PlatformOptions, output io.Writer, reloader settingsReloader) int {
	limitHeap(s.MemoryLimitMB)
	logger := newLogger(s, output)
	log.SetFlags(0)
	log.SetOutput(standardLog{logger})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	shutdownTracing, err := tracing.Setup(ctx, tracingOptions(s, logger))
	if err != nil {
		logger.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	defer func() {
		if err := shutdownTracing(); err != nil {
			logger.Warn().Err(err).Msg("some spans were not exported before the process stopped")
		}
	}()
	d, err := daemon.New(s, platformOptions, logger)
	if err != nil {
		logger.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	go reloader.run(ctx, s, d, logger)
	if err := d.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("run failed")
		return exitFailed
	}
	return exitOK
}

func tracingOptions(s *settings.Settings, logger zerolog.Logger) tracing.Options {
	return tracing.Options{
		Exporter:      tracing.Exporter(s.TraceExporter),
		Target:        s.TraceTarget,
		SampleRatio:   s.TraceSample,
		Role:          string(s.Role),
		Instance:      s.Instance,
		FailureDomain: s.FailureDomain,
		OnError:       func(err error) { logger.Warn().Err(err).Msg("export of traces failed") },
	}
}

func newLogger(s *settings.Settings, output io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(output).With().Timestamp().
		Str("instance", s.Instance).
		Str("failure_domain", s.FailureDomain).
		Logger()
}
