package deployment

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/proxy"
	"samphireflow/internal/tree"
)

func TestLayoutSizes(t *testing.T) {
	for name, want := range map[string]struct{ domains, slots, minServers, maxServers int }{
		"ploughline": {domains: 4, slots: 10, minServers: 4, maxServers: 5},
		"rota-cera":  {domains: 3, slots: 12, minServers: 3, maxServers: 4},
	} {
		layout, err := LayoutByName(name)
		require.NoError(t, err)
		require.Len(t, layout.Domains, want.domains)
		require.Len(t, layout.Services, 4)
		require.Len(t, layout.ControlDomains, 3)
		require.Equal(t, want.slots, layout.Slots)
		for _, service := range layout.Services {
			require.GreaterOrEqual(t, len(service.ServerDomains), want.minServers)
			require.LessOrEqual(t, len(service.ServerDomains), want.maxServers)
		}
	}
	_, err := LayoutByName("elsewhere")
	require.ErrorContains(t, err, "elsewhere")
}

func TestFirstConfigurationMatchesSchema(t *testing.T) {
	for _, layout := range []Layout{Ploughline(), RotaCera()} {
		text, err := firstConfiguration(layout)
		require.NoError(t, err)
		var doc struct {
			Branches map[string]map[string]string `yaml:"branches"`
		}
		require.NoError(t, yaml.Unmarshal(text, &doc))
		require.Len(t, doc.Branches, 1+len(layout.Services)+len(layout.Routes()))
		for path, settings := range doc.Branches {
			_, err := tree.ParsePath(path)
			require.NoError(t, err)
			for key, value := range settings {
				spec, ok := tree.SpecOf(key)
				require.True(t, ok, key)
				_, err := spec.Canonical(value)
				require.NoError(t, err)
			}
		}
	}
}

func TestPlannerAssignsUniqueNamesAndAddresses(t *testing.T) {
	p := &planner{layout: Ploughline(), binDir: "/bin", dir: t.TempDir(), ports: newPorts()}
	processes, err := p.planControls()
	require.NoError(t, err)
	for _, service := range p.layout.Services {
		pairs, err := p.planServers(service, service.Version, 1)
		require.NoError(t, err)
		processes = append(processes, pairs...)
	}
	require.Len(t, processes, 3+2*18)
	seen := map[string]bool{}
	for _, process := range processes {
		require.NotNil(t, process.Env, "the environment must be a JSON object in the manifest, not null")
		require.False(t, seen[process.name()])
		seen[process.name()] = true
		for _, addr := range []string{process.CallerAddr, process.ControlAddr, process.AdminAddr} {
			require.False(t, addr != "" && seen[addr])
			seen[addr] = true
		}
	}
}

// TestDownIgnoresReusedPID guards against a signal to a foreign process. Its PID can be in the manifest if the process
// of the deployment has exited and the system has reused the PID.
func TestDownIgnoresReusedPID(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	require.NoError(t, cmd.Start())
	process := Process{Role: RoleNode, PID: cmd.Process.Pid, Argv: []string{"samphireflowd", "--role", "node"}}
	require.NoError(t, stopAll([]Process{process}))
	process.Argv = cmd.Args
	// The kernel shows an empty command line for a moment after the start of a process.
	require.Eventually(t, process.running, time.Minute, time.Millisecond)
	dir := t.TempDir()
	manifest := Manifest{Processes: []Process{process}}
	require.NoError(t, manifest.write(dir))
	require.ErrorContains(t, checkNotUp(dir), "up already")
	ended := make(chan error)
	go func() { ended <- cmd.Wait() }()
	require.NoError(t, Down(dir, &strings.Builder{}))
	require.Error(t, <-ended)
	_, err := os.Stat(filepath.Join(dir, ManifestName))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestCheckExecutions(t *testing.T) {
	tests := []struct {
		outcome    proxy.Outcome
		executions int
		ok         bool
	}{
		{proxy.OutcomeDone, 1, true}, {proxy.OutcomeDone, 0, false}, {proxy.OutcomeDone, 2, false},
		{proxy.OutcomeNotRun, 0, true}, {proxy.OutcomeNotRun, 1, false},
		{proxy.OutcomeUnknown, 0, true}, {proxy.OutcomeUnknown, 1, true}, {proxy.OutcomeUnknown, 2, false},
	}
	for _, test := range tests {
		err := checkExecutions(map[string]proxy.Outcome{"k": test.outcome}, map[string]int{"k": test.executions})
		require.Equal(t, test.ok, err == nil, "%s, %d executions", test.outcome, test.executions)
	}
}

func TestResponseOfAnotherRequestIsInvalid(t *testing.T) {
	route := Route{Method: http.MethodPost, Path: "/shifts", Service: "shift-desk"}
	mine, other := newRequest(route, "hobart", 1), newRequest(route, "hobart", 2)
	body := []byte(`{"key": "` + mine.key + `", "body_digest": "` + mine.bodyDigest() + `"}`)
	recorder := httptest.NewRecorder()
	recorder.Header().Set(proxy.HeaderOutcome, string(proxy.OutcomeDone))
	response := recorder.Result()
	got := mine.evaluate(response, body)
	require.Empty(t, got.problem)
	require.True(t, got.succeeded())
	got = other.evaluate(response, body)
	require.NotEmpty(t, got.problem)
	got = mine.evaluate(response, body[:10])
	require.NotEmpty(t, got.problem)
	response.Header.Del(proxy.HeaderOutcome)
	got = mine.evaluate(response, body)
	require.NotEmpty(t, got.problem)
}

func TestFolderLockExcludesSecondCommand(t *testing.T) {
	dir := t.TempDir()
	unlock, err := lockFolder(dir)
	require.NoError(t, err)
	require.ErrorContains(t, Down(dir, &strings.Builder{}), "another command")
	unlock()
	require.NoError(t, Down(dir, &strings.Builder{}))
}

func TestUnexpectedExitIsReported(t *testing.T) {
	d, err := New(Ploughline(), t.TempDir(), t.TempDir())
	require.NoError(t, err)
	require.NoError(t, d.CheckRunning())
	process := Process{Role: RoleNode, Instance: "short", Argv: []string{"/bin/sh", "-c", "echo last log line; exit 7"}}
	require.NoError(t, d.startAll([]Process{process}))
	require.Eventually(t, func() bool { return len(d.launcher.exits) == 1 }, startTimeout, pollInterval)
	err = d.CheckRunning()
	require.ErrorContains(t, err, "node-short exited unexpectedly: exit status 7")
	require.ErrorContains(t, err, "last log line")
}
