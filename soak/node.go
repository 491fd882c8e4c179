package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"kumquathinge/core/site"
	"kumquathinge/platform/platfk"
)

// maxLogBytes limits the stored log of a node; later output is dropped.
const maxLogBytes = 64 << 20

// Node is an entry node. It runs one process at a time, which is restarted when
// it exits.
type Node struct {
	settings      site.Settings
	storeEndpoint *platfk.Endpoint
	storeProxy    *Proxy
	settingsPath  string
	program       string

	mu  sync.Mutex
	cmd *exec.Cmd
	// startedAt is the start time of the process, lastFaultAt the time at
	// which a fault last started, changed or ended.
	startedAt, lastFaultAt time.Time
	frozen                 bool
	// stopSignals are the signals sent to end the current process.
	stopSignals  []syscall.Signal
	restartDelay time.Duration
	log          bytes.Buffer
	violations   []string
	closed       bool
	wg           sync.WaitGroup
}

// start writes the settings file and starts the first process.
func (node *Node) start(dir, program string) error {
	raw, err := platfk.SettingsFile(node.settings)
	if err != nil {
		return err
	}
	node.program, node.settingsPath = program, filepath.Join(dir, node.settings.Node+".json")
	err = os.WriteFile(node.settingsPath, raw, 0o600)
	if err != nil {
		return err
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.startProcess()
}

// Write stores the output of the processes.
func (node *Node) Write(raw []byte) (int, error) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.log.Len() < maxLogBytes {
		node.log.Write(raw)
	}
	return len(raw), nil
}

// startProcess starts a process. The caller must hold node.mu.
func (node *Node) startProcess() error {
	cmd := exec.Command(node.program, "--settings", node.settingsPath)
	cmd.Stdout, cmd.Stderr = node, node
	err := cmd.Start()
	if err != nil {
		return err
	}
	node.cmd, node.startedAt, node.frozen, node.stopSignals, node.restartDelay = cmd, time.Now(), false, nil, 0
	node.wg.Go(func() { node.superviseProcess(cmd) })
	return nil
}

// exitSlack is the time that a process may take beyond its stop grace period,
// because the machine is shared.
const exitSlack = time.Second

// superviseProcess waits until a process exits, records a violation if it should
// not have exited that way, and starts the next process.
func (node *Node) superviseProcess(cmd *exec.Cmd) {
	err := cmd.Wait()
	node.mu.Lock()
	switch {
	case len(node.stopSignals) == 0:
		node.violations = append(node.violations, fmt.Sprintf("process of %s exited unexpectedly: %v", node.settings.Node, err))
	case !slices.Contains(node.stopSignals, syscall.SIGKILL) && err != nil:
		node.violations = append(node.violations, fmt.Sprintf("process of %s exited with an error after SIGTERM: %v", node.settings.Node, err))
	}
	delay := node.restartDelay
	node.cmd = nil
	node.mu.Unlock()
	time.Sleep(delay)
	node.mu.Lock()
	defer node.mu.Unlock()
	node.lastFaultAt = time.Now()
	if node.closed {
		return
	}
	err = node.startProcess()
	if err != nil {
		node.violations = append(node.violations, fmt.Sprintf("process of %s failed to start: %v", node.settings.Node, err))
	}
}

// Signal sends a signal to the process. After SIGTERM and SIGKILL, the process is
// restarted delay after its exit.
func (node *Node) Signal(sig syscall.Signal, delay time.Duration) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.lastFaultAt = time.Now()
	if node.cmd == nil {
		return
	}
	switch sig {
	case syscall.SIGTERM, syscall.SIGKILL:
		node.stopSignals, node.restartDelay = append(node.stopSignals, sig), delay
		cmd := node.cmd
		time.AfterFunc(node.settings.StopGrace+exitSlack, func() { node.killOverdue(cmd) })
	case syscall.SIGSTOP:
		node.frozen = true
	case syscall.SIGCONT:
		node.frozen = false
	}
	// The error is ignored: a process that has just exited needs no signal.
	_ = node.cmd.Process.Signal(sig)
}

// killOverdue kills a process that did not exit within its stop grace period.
func (node *Node) killOverdue(cmd *exec.Cmd) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.cmd != cmd {
		return
	}
	if !node.frozen {
		node.violations = append(node.violations, fmt.Sprintf("process of %s did not exit within its stop grace period", node.settings.Node))
	}
	node.stopSignals = append(node.stopSignals, syscall.SIGKILL)
	_ = cmd.Process.Kill()
}

// undisturbed reports whether the process has run without a fault for longer than
// dur.
func (node *Node) undisturbed(dur time.Duration) bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	now := time.Now()
	return !node.frozen && len(node.stopSignals) == 0 && now.Sub(node.startedAt) > dur && now.Sub(node.lastFaultAt) > dur
}

// close kills the process, waits for it and closes the node's store connection.
func (node *Node) close() {
	node.mu.Lock()
	node.closed = true
	node.stopSignals, node.restartDelay = append(node.stopSignals, syscall.SIGKILL), 0
	if node.cmd != nil {
		_ = node.cmd.Process.Kill()
	}
	node.mu.Unlock()
	node.wg.Wait()
	node.storeProxy.Close()
	node.storeEndpoint.Close()
}

// logAndViolations returns the output of the processes and the violations found.
func (node *Node) logAndViolations() (logText []byte, violations []string) {
	node.mu.Lock()
	defer node.mu.Unlock()
	return append([]byte(nil), node.log.Bytes()...), append([]string(nil), node.violations...)
}

// recordFault records that a fault has just started or ended at the node.
func (node *Node) recordFault() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.lastFaultAt = time.Now()
}
