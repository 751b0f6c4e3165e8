// Command backendserver is the backend server that the demo, the tests and the benchmarks use.
//
// Exit codes: 0 after a graceful stop, 1 after a failure while running, 2 for bad settings, 70 after a crash that an
// injected fault or a crashing request caused.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireflow/internal/backendserver"
	"samphireflow/internal/tracing"
)

const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	cfg, err := backendserver.ParseConfig(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "backendserver:", err)
		os.Exit(exitBadSettings)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("instance", cfg.Instance).Str("role", "backend-server").Logger()
	if err := run(cfg, log); err != nil {
		log.Error().Err(err).Msg("backend server failed")
		os.Exit(exitFailed)
	}
}

func run(cfg backendserver.Config, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	shutdownTracing, err := tracing.Setup(ctx, cfg.TraceOptions(func(err error) {
		log.Warn().Err(err).Msg("export of traces failed")
	}))
	if err != nil {
		return err
	}
	defer func() {
		if err := shutdownTracing(); err != nil {
			log.Warn().Err(err).Msg("some spans were not exported before the process stopped")
		}
	}()
	server, err := backendserver.New(cfg, log)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
