package deployment

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// CrashMarker is the text in a path or body that crashes a backend server of a deployment.
const CrashMarker = "crash-the-backend-server"

// planner gives addresses and command lines to the processes of a layout.
type planner struct {
	layout Layout
	// binDir and dir are absolute.
	binDir string
	dir    string
	ports  *ports
	// controlPeers lists the control instances as name=IP:port, separated by commas.
	controlPeers string
	// faultInjection starts daemons that can be cut off.
	faultInjection bool
	// traceDir gets a file with the spans of each process; empty for none.
	traceDir string
	// seeds holds the reserved control addresses of each failure domain, and planned the number of its nodes.
	seeds   map[string][]string
	planned map[string]int
}

// seedCount is the number of nodes of each failure domain that the others know from their settings.
const seedCount = 3

// planSeeds reserves the control addresses of the first nodes of each failure domain.
func (p *planner) planSeeds() error {
	p.seeds = map[string][]string{}
	p.planned = map[string]int{}
	for _, service := range p.layout.Services {
		for _, domain := range service.ServerDomains {
			if len(p.seeds[domain]) == seedCount {
				continue
			}
			var addr string
			if err := p.address(&addr); err != nil {
				return err
			}
			p.seeds[domain] = append(p.seeds[domain], addr)
		}
	}
	return nil
}

// nodeAddress sets the control address of the next node of a failure domain: a reserved one while there are any.
func (p *planner) nodeAddress(node *Process) error {
	if p.seeds == nil {
		if err := p.planSeeds(); err != nil {
			return err
		}
	}
	number := p.planned[node.FailureDomain]
	p.planned[node.FailureDomain]++
	if seeds := p.seeds[node.FailureDomain]; number < len(seeds) {
		node.ControlAddr = seeds[number]
		return nil
	}
	return p.address(&node.ControlAddr)
}

// controls plans the control instances.
func (p *planner) controls() ([]Process, error) {
	list := make([]Process, 0, len(p.layout.ControlDomains))
	peers := make([]string, 0, len(p.layout.ControlDomains))
	for i, domain := range p.layout.ControlDomains {
		process := Process{
			Role: RoleControl, Instance: fmt.Sprintf("control-%d", i+1), FailureDomain: domain, Env: map[string]string{},
		}
		if err := p.address(&process.ControlAddr, &process.AdminAddr); err != nil {
			return nil, err
		}
		peers = append(peers, process.Instance+"="+process.ControlAddr)
		list = append(list, process)
	}
	p.controlPeers = strings.Join(peers, ",")
	for i := range list {
		list[i].Argv = p.daemonArgv(&list[i], "--data-dir", filepath.Join(p.dir, "data", list[i].Instance))
	}
	return list, nil
}

// servers plans backend servers of one version of a service, a node beside each. The number of the first instance is
// given, so that instances of a later version get names of their own.
func (p *planner) servers(service Service, version string, firstNumber int) ([]Process, error) {
	list := make([]Process, 0, 2*len(service.ServerDomains))
	for i, domain := range service.ServerDomains {
		pair, err := p.pair(service.Name, version, domain, firstNumber+i)
		if err != nil {
			return nil, err
		}
		list = append(list, pair...)
	}
	return list, nil
}

// pair plans a node and the backend server beside it.
func (p *planner) pair(service, version, domain string, number int) ([]Process, error) {
	instance := instanceName(domain, service, number)
	node := Process{
		Role: RoleNode, Instance: instance, FailureDomain: domain, Service: service, Env: map[string]string{},
	}
	if err := p.nodeAddress(&node); err != nil {
		return nil, err
	}
	if err := p.address(&node.CallerAddr, &node.AdminAddr); err != nil {
		return nil, err
	}
	node.Argv = p.daemonArgv(&node, "--caller-addr", node.CallerAddr, "--seeds", strings.Join(p.seeds[domain], ","))
	server := Process{
		Role: RoleBackendServer, Instance: instance, FailureDomain: domain, Service: service, Version: version,
		Env: map[string]string{},
	}
	if err := p.address(&server.CallerAddr, &server.AdminAddr); err != nil {
		return nil, err
	}
	server.Argv = p.serverArgv(&server, node.ControlAddr)
	return []Process{node, server}, nil
}

func (p *planner) address(addrs ...*string) error {
	for _, addr := range addrs {
		free, err := p.ports.addr()
		if err != nil {
			return err
		}
		*addr = free
	}
	return nil
}

func (p *planner) daemonArgv(process *Process, more ...string) []string {
	argv := []string{
		filepath.Join(p.binDir, "samphireflowd"),
		"--role", string(process.Role),
		"--instance", process.Instance,
		"--failure-domain", process.FailureDomain,
		"--region", p.layout.regionOf(process.FailureDomain),
		"--control-addr", process.ControlAddr,
		"--admin-addr", process.AdminAddr,
		"--control-peers", p.controlPeers,
		"--log-level", "info",
	}
	if p.faultInjection {
		argv = append(argv, "--fault-injection")
	}
	argv = append(argv, p.traceFlags(process)...)
	return append(argv, more...)
}

// traceFlags makes a process write its spans to a file of its own.
func (p *planner) traceFlags(process *Process) []string {
	if p.traceDir == "" {
		return nil
	}
	return []string{"--trace-exporter", "file", "--trace-target", filepath.Join(p.traceDir, process.name()+".jsonl")}
}

func (p *planner) serverArgv(process *Process, nodeControlAddr string) []string {
	argv := []string{
		filepath.Join(p.binDir, "backendserver"),
		"--instance", process.Instance,
		"--failure-domain", process.FailureDomain,
		"--service", process.Service,
		"--version", process.Version,
		"--addr", process.CallerAddr,
		"--admin-addr", process.AdminAddr,
		"--node-control-addr", nodeControlAddr,
		"--slots", strconv.Itoa(p.layout.Slots),
		"--connections", strconv.Itoa(p.layout.Connections),
		"--probe-cost", p.layout.ProbeCost.String(),
		"--drain-linger", p.layout.DrainLinger.String(),
		"--executions", filepath.Join(p.dir, "executions", process.Instance+".jsonl"),
		"--crash-marker", CrashMarker,
	}
	if p.layout.Work > 0 {
		argv = append(argv, "--work", p.layout.Work.String())
	}
	return append(argv, p.traceFlags(process)...)
}
