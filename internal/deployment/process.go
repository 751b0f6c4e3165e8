package deployment

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"
)

// Role says what a process is.
type Role string

// The roles of processes.
const (
	RoleControl       Role = "control"
	RoleNode          Role = "node"
	RoleBackendServer Role = "backend-server"
)

// Process is one process of a deployment. A process that was killed can be started again from Argv and Env.
type Process struct {
	Role          Role   `json:"role"`
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service,omitempty"`
	Version       string `json:"version,omitempty"`
	PID           int    `json:"pid"`
	// CallerAddr is the IP:port for calls.
	CallerAddr  string            `json:"caller_addr,omitempty"`
	ControlAddr string            `json:"control_addr,omitempty"`
	AdminAddr   string            `json:"admin_addr,omitempty"`
	Argv        []string          `json:"argv"`
	Env         map[string]string `json:"env"`
}

// name tells the processes of a deployment apart.
func (p *Process) name() string {
	return string(p.Role) + "-" + p.Instance
}

const (
	// execLooks bounds the looks at a process whose command line is not there yet.
	execLooks = 50
	// execPause is the time between two such looks.
	execPause = 2 * time.Millisecond
)

// running reports whether the process with its PID still runs its command line. A process that has just been started
// shows none for a moment, a process that has ended and was not waited for shows none any more.
func (p *Process) running() bool {
	dir := "/proc/" + strconv.Itoa(p.PID)
	for range execLooks {
		cmdline, err := os.ReadFile(dir + "/cmdline")
		if err != nil {
			return false
		}
		if len(cmdline) > 0 {
			return bytes.Equal(cmdline, []byte(strings.Join(p.Argv, "\x00")+"\x00"))
		}
		if ended(dir) {
			return false
		}
		time.Sleep(execPause)
	}
	return false
}

// ended reports whether a process is a zombie, by the state that follows its name in proc_pid_stat(5).
func ended(dir string) bool {
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return true
	}
	_, rest, _ := bytes.Cut(stat[bytes.LastIndexByte(stat, ')')+1:], []byte(" "))
	return bytes.HasPrefix(rest, []byte("Z"))
}
