package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the nodes. The metrics port stands in the deploy file.
const (
	frontPort   = 18227
	readyPort   = 18220
	controlPort = 18229
	peerPort    = 18340
	metricsPort = 9464
)

// node is one entry VM, with the process that runs on it.
type node struct {
	name, ip, zone string
	dir            string
	store          string
	command        []string
	logFile        *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	closed   bool
	starting sync.WaitGroup
	// ends counts the processes that ended without a signal of this program.
	ends, memoryKills int
	// signalled is set if this program ended the current process.
	signalled bool
	memoryMB  int
}

func (nd *node) addr() string { return fmt.Sprintf("%s:%d", nd.ip, frontPort) }

// bounds are those of the site sheets.
var bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
	"rollbackSlackMs": 250, "outerMs": 5000, "revokeStrict": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 132,
	"recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stallMs": 5000, "requireFencing": true, "ceilingWindowS": 5, "burstFactor": 1.1,
}

// settings returns the content of the settings file, as the pages show it.
func (nd *node) settings() ([]byte, error) {
	return json.MarshalIndent(map[string]any{
		"node": nd.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": nd.ip, "zone": nd.zone, "region": "r1",
		"zones":         map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"},
		"listen":        map[string]string{"front": nd.addr(), "ready": fmt.Sprintf("%s:%d", nd.ip, readyPort), "control": fmt.Sprintf("%s:%d", nd.ip, controlPort)},
		"internalPorts": []int{peerPort, peerPort + 15}, "seeds": []string{}, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": nd.memoryMB, "maxFds": 6150, "linkMbps": 1500.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds,
		"platform": map[string]any{
			"address": nd.store, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partBwS": 20.0, "readBwS": 80.0,
			"recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	}, "", "  ")
}

// start writes the settings file and starts the process.
func (nd *node) start() error {
	raw, err := nd.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(nd.dir, nd.name+".json")
	if err = os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	if nd.logFile == nil {
		if nd.logFile, err = os.Create(filepath.Join(nd.dir, nd.name+".log")); err != nil {
			return err
		}
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	cmd := exec.Command(nd.command[0], nd.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATHINGE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = nd.logFile, nd.logFile
	if err = cmd.Start(); err != nil {
		return err
	}
	nd.cmd, nd.signalled = cmd, false
	nd.starting.Go(func() { nd.supervise(cmd) })
	return nil
}

// supervise starts the process again when it has ended, as the platform does.
func (nd *node) supervise(cmd *exec.Cmd) {
	_ = cmd.Wait()
	nd.mu.Lock()
	closed := nd.closed
	if !nd.signalled && !closed {
		nd.ends++
	}
	nd.mu.Unlock()
	if closed {
		return
	}
	time.Sleep(500 * time.Millisecond)
	nd.mu.Lock()
	closed = nd.closed
	nd.mu.Unlock()
	if !closed {
		_ = nd.start()
	}
}

// changeSettings writes the settings file again with a higher memory limit.
func (nd *node) changeSettings() error {
	nd.memoryMB += 10
	raw, err := nd.settings()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(nd.dir, nd.name+".json"), raw, 0o600)
}

// signal sends a signal to the process.
func (nd *node) signal(sig syscall.Signal) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		nd.signalled = true
	}
	_ = nd.cmd.Process.Signal(sig)
}

func (nd *node) stop() {
	nd.mu.Lock()
	nd.closed = true
	if nd.cmd != nil {
		_ = nd.cmd.Process.Signal(syscall.SIGCONT)
		_ = nd.cmd.Process.Kill()
	}
	nd.mu.Unlock()
	nd.starting.Wait()
	if nd.logFile != nil {
		_ = nd.logFile.Close()
	}
}

func (nd *node) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", nd.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeSubnet returns the first three parts of loopback addresses whose ports are
// free.
func freeSubnet(num int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for pos := 1; pos <= num && free; pos++ {
			for _, port := range []int{frontPort, readyPort, peerPort, metricsPort} {
				lis, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, pos, port))
				if err != nil {
					free = false
					break
				}
				_ = lis.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// deployCommand returns the command of the entry role in the deploy file.
func deployCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if name, val, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(val), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}
