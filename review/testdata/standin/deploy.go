// Command standin plays the cases of the review: it starts the daemon with the commands of
// the deploy file, stand-ins of the store, of plain servers and of clients, and judges what
// these have seen.
package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// Names of the deployment.
const (
	host       = "calls.example"
	service    = "casos"
	apiKey     = "key-of-org-a"
	heartbeat  = 1200 * time.Millisecond
	frontPort  = 19281
	touchTime  = 3 * time.Second
	readyLimit = 15 * time.Second
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begin: time.Now()}, nil
}

func (rec *record) printf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%8.3f  %s\n", time.Since(rec.begin).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process of the daemon.
type node struct {
	name, zone, ip string
	settingsPath   string
	logPath        string
	program        string
	args           []string
	cmd            *exec.Cmd
}

func (nd *node) addr() string { return net.JoinHostPort(nd.ip, fmt.Sprint(frontPort)) }

// start starts the process with the command of the deploy file.
func (nd *node) start() error {
	log, err := os.OpenFile(nd.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	nd.cmd = exec.Command(nd.program, nd.args...)
	nd.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATHINGE_SETTINGS=" + nd.settingsPath}
	nd.cmd.Stdout, nd.cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	nd.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return nd.cmd.Start()
}

// runs reports whether the process runs.
func (nd *node) runs() bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", nd.cmd.Process.Pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	return !strings.HasPrefix(rest, "Z")
}

// peakMemory returns the largest resident memory of the process, as the kernel states it.
func (nd *node) peakMemory() string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", nd.cmd.Process.Pid))
	if err != nil {
		return "unknown"
	}
	for line := range strings.Lines(string(raw)) {
		if val, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(val)
		}
	}
	return "unknown"
}

func (nd *node) kill() {
	if nd.cmd != nil && nd.cmd.Process != nil {
		_ = nd.cmd.Process.Kill()
		_ = nd.cmd.Wait()
	}
}

// deployment is a small deployment: four nodes in three zones.
type deployment struct {
	dir   string
	rec   *record
	store *platfk.Store
	nodes []*node
	// keys are the API keys of the organisation.
	keys []string
}

var zones = []string{"z1", "z2", "z3"}

// newDeployment prepares the nodes. subnet is the begin of their loopback addresses.
func newDeployment(rec *record, subnet, program string, count int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	dep := &deployment{dir: dir, rec: rec, store: platfk.NewStore(), keys: []string{apiKey}}
	for num := range count {
		nd := &node{
			name: fmt.Sprintf("front-%d", num+1), zone: zones[num%len(zones)], ip: fmt.Sprintf("%s.%d", subnet, num+1),
			program: program, args: []string{"--metrics-port", "9464"},
		}
		nd.settingsPath, nd.logPath = filepath.Join(dir, nd.name+".json"), filepath.Join(dir, nd.name+".log")
		raw, err := json.Marshal(dep.settings(nd))
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(nd.settingsPath, raw, 0o600); err != nil {
			return nil, err
		}
		dep.nodes = append(dep.nodes, nd)
	}
	return dep, nil
}

// settings returns the settings file of a node, with the bounds of the small sites.
func (dep *deployment) settings(nd *node) map[string]any {
	return map[string]any{
		"node": nd.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": nd.ip, "zone": nd.zone, "region": "r1",
		"zones":  map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"},
		"listen": map[string]string{"front": nd.addr(), "ready": net.JoinHostPort(nd.ip, "19282")}, "internalPorts": []int{19340, 19355},
		"seeds": []string{}, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.608, "cores": 1, "memoryMb": 414, "maxFds": 6150, "linkMbps": 1500.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": touchTime.Milliseconds(), "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "revokeStrict": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"retryBudgetSlack": 132, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stallMs": 5000, "requireFencing": true, "ceilingWindowS": 5, "burstFactor": 1.1,
		},
		"platform": map[string]any{
			"address": dep.store.Addr(), "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partBwS": 20.0, "readBwS": 80.0,
			"recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	}
}

// The configurations of the plain service and of the model servers.
var (
	//go:embed plain.json
	plainText string
	//go:embed model.json
	modelText string

	plainConfig = template.Must(template.New("plain").Parse(plainText))
	modelConfig = template.Must(template.New("model").Parse(modelText))
)

// writeConfig writes a configuration as the operator does.
func (dep *deployment) writeConfig(config *template.Template, version int) error {
	var raw bytes.Buffer
	err := config.Execute(&raw, struct {
		Version int
		Keys    []string
	}{version, dep.keys})
	if err != nil {
		return err
	}
	if !json.Valid(raw.Bytes()) {
		return errors.New("the configuration is not valid")
	}
	dep.store.Append(platform.TopicOperator, platform.KeyConfig, raw.Bytes())
	return nil
}

// start starts all nodes and waits until they are ready.
func (dep *deployment) start() error {
	for _, nd := range dep.nodes {
		if err := nd.start(); err != nil {
			return err
		}
		dep.rec.printf("node %s started in %s", nd.name, nd.zone)
	}
	end := time.Now().Add(readyLimit)
	for _, nd := range dep.nodes {
		for !ready(nd) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", nd.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The nodes find each other, and are in touch.
	time.Sleep(touchTime)
	return nil
}

func ready(nd *node) bool {
	resp, err := client.Get("http://" + net.JoinHostPort(nd.ip, "19282") + platform.PathReady)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// close ends all processes.
func (dep *deployment) close(keep bool) {
	for _, nd := range dep.nodes {
		nd.kill()
	}
	dep.store.Close()
	if !keep {
		_ = os.RemoveAll(dep.dir)
	}
}
