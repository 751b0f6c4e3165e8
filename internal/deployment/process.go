package deployment

import (
	"bytes"
	"os"
	"strconv"
	"strings"
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

// running reports whether the process with its PID still runs its command line.
func (p *Process) running() bool {
	cmdline, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID) + "/cmdline")
	if err != nil {
		return false
	}
	return bytes.Equal(cmdline, []byte(strings.Join(p.Argv, "\x00")+"\x00"))
}
