// Command deployment starts and stops a whole deployment on the loopback interface, and runs the demo.
//
//	deployment up|down|demo [--bin DIR] [--dir .run]
//
// The environment variable DEPLOYMENT selects the layout: ploughline (default) or rota-cera.
//
// Exit codes: 0 success, 1 failure or an unmet expectation of the demo, 2 bad usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"samphireflow/internal/deployment"
)

const (
	exitFailed   = 1
	exitBadUsage = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: deployment up|down|demo [--bin DIR] [--dir DIR]")
		os.Exit(exitBadUsage)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	binDir := flags.String("bin", ".run/bin", "folder of the programs")
	dir := flags.String("dir", ".run", "folder of the deployment")
	// With flag.ExitOnError, Parse does not return an error.
	_ = flags.Parse(os.Args[2:])
	layout, err := deployment.LayoutByName(os.Getenv(deployment.EnvLayout))
	if err != nil {
		fmt.Fprintln(os.Stderr, "deployment:", err)
		os.Exit(exitBadUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, os.Args[1], layout, *binDir, *dir, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "deployment %s: %v\n", os.Args[1], err)
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, command string, layout deployment.Layout, binDir, dir string, out io.Writer) error {
	switch command {
	case "up":
		return deployment.Up(ctx, layout, binDir, dir, out)
	case "down":
		return deployment.Down(dir, out)
	case "demo":
		return deployment.Demo(ctx, layout, binDir, dir, out)
	}
	return fmt.Errorf("%q is not one of up, down, demo", command)
}
