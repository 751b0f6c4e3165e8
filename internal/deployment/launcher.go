package deployment

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// launcher starts processes and writes their output to log files.
type launcher struct {
	logDir string
	// exits receives each process that has exited. Its capacity is large enough that sending never blocks.
	exits chan processExit
}

// processExit is a process that has exited, and the result of waiting for it.
type processExit struct {
	process Process
	err     error
}

// maxProcesses bounds the number of processes that one deployment starts.
const maxProcesses = 300

func newLauncher(logDir string) *launcher {
	return &launcher{logDir: logDir, exits: make(chan processExit, maxProcesses)}
}

// start starts a process, sets its PID and sends its exit to exits.
func (l *launcher) start(process *Process) error {
	log, err := os.OpenFile(l.logFile(process), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open a log file")
	}
	defer log.Close()
	cmd := exec.Command(process.Argv[0], process.Argv[1:]...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.Env = environ(process.Env)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", process.name())
	}
	process.PID = cmd.Process.Pid
	started := *process
	go func() { l.exits <- processExit{process: started, err: cmd.Wait()} }()
	return nil
}

// environ formats variables as NAME=value. The list is never nil: with nil, a process would inherit the environment of
// this one.
func environ(env map[string]string) []string {
	list := make([]string, 0, len(env))
	for name, value := range env {
		list = append(list, name+"="+value)
	}
	return list
}

// logFile returns the path of the log file of a process.
func (l *launcher) logFile(process *Process) string {
	return filepath.Join(l.logDir, process.name()+".log")
}

// logTailSize is the number of bytes at the end of a log that an error shows.
const logTailSize = 800

// unexpectedExit returns an error that describes the exit of a process that should still run.
func (l *launcher) unexpectedExit(exit processExit) error {
	text, _ := os.ReadFile(l.logFile(&exit.process))
	if len(text) > logTailSize {
		text = text[len(text)-logTailSize:]
	}
	return errors.Errorf("%s exited unexpectedly: %v\n%s", exit.process.name(), exit.err, text)
}
