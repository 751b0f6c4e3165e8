// Command standin plays one case of the review: it starts the project's own programs as processes on the loopback
// interface and is their platform, operator, backend servers and clients. It exits with 0 if the rule held, 1 if it was
// broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxRun bounds a case; the issue allows 120 seconds.
const maxRun = 112 * time.Second

// cases lists the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world) bool{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]]))
}

// play runs a case in the current folder and ends all processes that it started.
func play(run func(w *world) bool) (code int) {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCannotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				w.logf("the case could not run: %v", cause)
				result <- exitCannotRun
			}
		}()
		if run(w) {
			result <- exitHeld
			return
		}
		result <- exitBroken
	}()
	select {
	case code = <-result:
	case <-stopped:
		code = exitCannotRun
	case <-time.After(maxRun):
		w.logf("the case could not run: it took longer than %v", maxRun)
		code = exitCannotRun
	}
	w.logf("exit %d", code)
	return code
}
