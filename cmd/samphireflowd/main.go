// Command samphireflowd is the daemon of samphireflow: a node, a control instance, or both.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireflow/internal/daemon"
	"samphireflow/internal/settings"
	"samphireflow/internal/tracing"
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
	return serve(s)
}

func serve(s *settings.Settings) int {
	logger := newLogger(s)
	log.SetFlags(0)
	log.SetOutput(standardLog{logger})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	endTraces, err := tracing.Setup(ctx, traceOptions(s, logger))
	if err != nil {
		logger.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	defer func() {
		if err := endTraces(); err != nil {
			logger.Warn().Err(err).Msg("some spans were lost")
		}
	}()
	d, err := daemon.New(s, logger)
	if err != nil {
		logger.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	if err := d.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("run failed")
		return exitFailed
	}
	return exitOK
}

func traceOptions(s *settings.Settings, logger zerolog.Logger) tracing.Options {
	return tracing.Options{
		Exporter:      tracing.Exporter(s.TraceExporter),
		Target:        s.TraceTarget,
		Sample:        s.TraceSample,
		Role:          string(s.Role),
		Instance:      s.Instance,
		FailureDomain: s.FailureDomain,
		OnError:       func(err error) { logger.Warn().Err(err).Msg("traces are not exported") },
	}
}

func newLogger(s *settings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(os.Stderr).With().Timestamp().
		Str("instance", s.Instance).
		Str("failure_domain", s.FailureDomain).
		Logger()
}
