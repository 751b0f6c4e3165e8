package deployment

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// CrashMarker is a text that crashes a backend server of a deployment if the path or the body of a request contains it.
const CrashMarker = "crash-the-backend-server"

// planner assigns addresses and command lines to the processes of a layout.
type planner struct {
	layout Layout
	// binDir and dir are absolute paths: of the programs and of the deployment's folder.
	binDir string
	dir    string
	ports  *ports
	// controlPeers is the value of --control-peers: name=IP:port of each control instance, separated by commas.
	controlPeers string
	// faultInjection makes daemons accept requests to block their traffic.
	faultInjection bool
	// traceDir is the folder for the span files of the processes; empty turns tracing off.
	traceDir string
	// seedAddrs holds the control addresses reserved for the first nodes of each failure domain, and plannedNodes the
	// number of nodes planned there so far.
	seedAddrs    map[string][]string
	plannedNodes map[string]int
}

// seedsPerDomain is the number of nodes of each failure domain whose control addresses all nodes there get as --seeds.
const seedsPerDomain = 3

// reserveSeedAddrs reserves control addresses for the first nodes of each failure domain. They are needed before the
// first node is planned, because its command line lists them.
func (p *planner) reserveSeedAddrs() error {
	p.seedAddrs = map[string][]string{}
	p.plannedNodes = map[string]int{}
	for _, service := range p.layout.Services {
		for _, domain := range service.ServerDomains {
			if len(p.seedAddrs[domain]) == seedsPerDomain {
				continue
			}
			var addr string
			if err := p.assignAddrs(&addr); err != nil {
				return err
			}
			p.seedAddrs[domain] = append(p.seedAddrs[domain], addr)
		}
	}
	return nil
}

// assignNodeControlAddr sets the control address of the next node of a failure domain. The first nodes get the reserved
// addresses.
func (p *planner) assignNodeControlAddr(node *Process) error {
	if p.seedAddrs == nil {
		if err := p.reserveSeedAddrs(); err != nil {
			return err
		}
	}
	number := p.plannedNodes[node.FailureDomain]
	p.plannedNodes[node.FailureDomain]++
	if seeds := p.seedAddrs[node.FailureDomain]; number < len(seeds) {
		node.ControlAddr = seeds[number]
		return nil
	}
	return p.assignAddrs(&node.ControlAddr)
}

// planControls plans the control instances.
func (p *planner) planControls() ([]Process, error) {
	list := make([]Process, 0, len(p.layout.ControlDomains))
	peers := make([]string, 0, len(p.layout.ControlDomains))
	for i, domain := range p.layout.ControlDomains {
		process := Process{
			Role: RoleControl, Instance: fmt.Sprintf("control-%d", i+1), FailureDomain: domain, Env: map[string]string{},
		}
		if err := p.assignAddrs(&process.ControlAddr, &process.AdminAddr); err != nil {
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

// planServers plans the backend servers of one version of a service, a node beside each. Instances are numbered from
// firstNumber, so that those of a later version get different names.
func (p *planner) planServers(service Service, version string, firstNumber int) ([]Process, error) {
	list := make([]Process, 0, 2*len(service.ServerDomains))
	for i, domain := range service.ServerDomains {
		pair, err := p.planPair(service.Name, version, domain, firstNumber+i)
		if err != nil {
			return nil, err
		}
		list = append(list, pair...)
	}
	return list, nil
}

// planPair plans a node and the backend server beside it.
func (p *planner) planPair(service, version, domain string, number int) ([]Process, error) {
	instance := instanceName(domain, service, number)
	node := Process{
		Role: RoleNode, Instance: instance, FailureDomain: domain, Service: service, Env: map[string]string{},
	}
	if err := p.assignNodeControlAddr(&node); err != nil {
		return nil, err
	}
	if err := p.assignAddrs(&node.CallerAddr, &node.AdminAddr); err != nil {
		return nil, err
	}
	node.Argv = p.daemonArgv(&node, "--caller-addr", node.CallerAddr, "--seeds", strings.Join(p.seedAddrs[domain], ","))
	server := Process{
		Role: RoleBackendServer, Instance: instance, FailureDomain: domain, Service: service, Version: version,
		Env: map[string]string{},
	}
	if err := p.assignAddrs(&server.CallerAddr, &server.AdminAddr); err != nil {
		return nil, err
	}
	server.Argv = p.serverArgv(&server, node.ControlAddr)
	return []Process{node, server}, nil
}

// assignAddrs sets each address to a free port.
func (p *planner) assignAddrs(addrs ...*string) error {
	for _, addr := range addrs {
		free, err := p.ports.freeAddr()
		if err != nil {
			return err
		}
		*addr = free
	}
	return nil
}

// daemonArgv returns the command line of a control instance or a node.
func (p *planner) daemonArgv(process *Process, extra ...string) []string {
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
	return append(argv, extra...)
}

// traceFlags returns the flags that make a process write its spans to a file in traceDir.
func (p *planner) traceFlags(process *Process) []string {
	if p.traceDir == "" {
		return nil
	}
	return []string{"--trace-exporter", "file", "--trace-target", filepath.Join(p.traceDir, process.name()+".jsonl")}
}

// serverArgv returns the command line of a backend server whose node has the given control address.
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
