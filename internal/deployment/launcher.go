package deployment

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// launcher starts processes whose logs go to files.
type launcher struct {
	logDir string
	// exits gets each process that ended.
	exits chan exited
}

// exited is a process that ended and how.
type exited struct {
	process Process
	err     error
}

// maxProcesses bounds the processes of one deployment.
const maxProcesses = 300

func newLauncher(logDir string) *launcher {
	return &launcher{logDir: logDir, exits: make(chan exited, maxProcesses)}
}

// start starts a process, sets its PID and reports its end on exits.
func (l *launcher) start(process *Process) error {
	log, err := os.OpenFile(l.logName(process), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open a log")
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
	go func() { l.exits <- exited{process: started, err: cmd.Wait()} }()
	return nil
}

// environ lists variables as NAME=value. The list is never nil, so that a process gets these variables only.
func environ(env map[string]string) []string {
	list := make([]string, 0, len(env))
	for name, value := range env {
		list = append(list, name+"="+value)
	}
	return list
}

func (l *launcher) logName(process *Process) string {
	return filepath.Join(l.logDir, process.name()+".log")
}

// logTailSize is how much of a log an error shows, in bytes.
const logTailSize = 800

// failure describes the end of a process that should have run on.
func (l *launcher) failure(ended exited) error {
	text, _ := os.ReadFile(l.logName(&ended.process))
	if len(text) > logTailSize {
		text = text[len(text)-logTailSize:]
	}
	return errors.Errorf("%s ended early: %v\n%s", ended.process.name(), ended.err, text)
}
