// Command samphireflow is the operators' command-line tool of samphireflow.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"samphireflow/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
