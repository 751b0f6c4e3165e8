// Command standin2 plays the cases of the second review against the project's own programs. It holds stand-ins for the
// requesters, the backends, the operator and the platform.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of each case to its function.
var cases = map[string]func(d *Deployment, trouble bool) int{
	"lapsed-lease":  lapsedLease,
	"long-poison":   longPoison,
	"first-start":   firstStart,
	"caller-poison": callerPoison,
	"vain-delete":   vainDelete,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case with the given name: standin2 CASE ROOT RECORD.
func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		return exitNotRun
	}
	record, err := NewRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	d, err := NewDeployment(args[1], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.Stop()
	return cases[args[0]](d, os.Getenv("TROUBLE") != "0")
}

// verdict notes and prints the result of a case.
func verdict(d *Deployment, code int, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	name := map[int]string{exitHeld: "held", exitBroken: "BROKEN", exitNotRun: "not run"}[code]
	d.record.Note("%s: %s", name, text)
	fmt.Printf("%s: %s\n", name, text)
	return code
}
