//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longestRun is the time after which a script gives up, so that it ends within 120 seconds with all its processes.
const longestRun = 108 * time.Second

// scenario is one case. It returns whether the rule held.
type scenario struct {
	// services lists the services of the backends beside the nodes, which are the machines from firstNode on.
	services []string
	play     func(d *deployment, trouble bool) (bool, error)
}

var scenarios = map[string]scenario{}

const firstNode = 11

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-3 SCENARIO RECORD")
		return failed
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such scenario:", os.Args[1])
		return failed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	rec := &record{out: io.MultiWriter(file, os.Stdout), start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("scenario %s, trouble %t", os.Args[1], trouble)
	d, err := newDeployment(rec)
	if err != nil {
		rec.printf("cannot run: %v", err)
		return failed
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longestRun):
		}
		rec.printf("cannot run: interrupted or too long")
		d.stop()
		os.Exit(failed)
	}()
	if err := d.bringUp(s); err != nil {
		rec.printf("cannot run: %v", err)
		return failed
	}
	ok, err := s.play(d, trouble)
	if err != nil {
		rec.printf("cannot run: %v", err)
		return failed
	}
	for _, p := range d.processes {
		if p.ended() {
			rec.printf("process %s has ended by itself", p.name)
		}
	}
	if !ok {
		rec.printf("RULE BROKEN")
		return broken
	}
	rec.printf("rule held")
	return held
}

// bringUp starts the processes.
func (d *deployment) bringUp(s scenario) error {
	for i := 1; i <= controls; i++ {
		if _, err := d.start(i, "", true); err != nil {
			return err
		}
	}
	for i, service := range s.services {
		if _, err := d.start(firstNode+i, service, true); err != nil {
			return err
		}
	}
	return nil
}
