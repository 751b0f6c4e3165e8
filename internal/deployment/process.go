package deployment

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"
)

// Role is the role of a process in a deployment.
type Role string

// The roles of processes.
const (
	RoleControl       Role = "control"
	RoleNode          Role = "node"
	RoleBackendServer Role = "backend-server"
)

// Process is one process of a deployment. It can be started again from Argv and Env.
type Process struct {
	Role          Role   `json:"role"`
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service,omitempty"`
	Version       string `json:"version,omitempty"`
	PID           int    `json:"pid"`
	// CallerAddr is the IP:port that serves calls.
	CallerAddr  string            `json:"caller_addr,omitempty"`
	ControlAddr string            `json:"control_addr,omitempty"`
	AdminAddr   string            `json:"admin_addr,omitempty"`
	Argv        []string          `json:"argv"`
	Env         map[string]string `json:"env"`
}

// name identifies a process within its deployment.
func (p *Process) name() string {
	return string(p.Role) + "-" + p.Instance
}

const (
	// cmdlineAttempts bounds the reads of the command line of a process while it is still empty.
	cmdlineAttempts = 50
	// cmdlineRetryDelay is the delay between two such reads.
	cmdlineRetryDelay = 2 * time.Millisecond
)

// running reports whether the process with this PID still runs this command line; another process may have got the PID
// since. The command line is empty for a moment after a start, and in a zombie, which has exited but is not reaped.
func (p *Process) running() bool {
	dir := "/proc/" + strconv.Itoa(p.PID)
	for range cmdlineAttempts {
		cmdline, err := os.ReadFile(dir + "/cmdline")
		if err != nil {
			return false
		}
		if len(cmdline) > 0 {
			return bytes.Equal(cmdline, []byte(strings.Join(p.Argv, "\x00")+"\x00"))
		}
		if isZombieOrGone(dir) {
			return false
		}
		time.Sleep(cmdlineRetryDelay)
	}
	return false
}

// isZombieOrGone reports whether the process with a folder in /proc is a zombie or has been reaped. Its state follows
// its name in the file stat; see proc_pid_stat(5).
func isZombieOrGone(dir string) bool {
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return true
	}
	_, rest, _ := bytes.Cut(stat[bytes.LastIndexByte(stat, ')')+1:], []byte(" "))
	return bytes.HasPrefix(rest, []byte("Z"))
}
