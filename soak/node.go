package soak

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
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
	// terms and reloads are the times of SIGTERM and SIGHUP, disruptions the periods in
	// which the process was killed or frozen, lives those in which a process ran.
	terms, reloads     []time.Time
	disruptions, lives []Period
	// storeFaults are the times at which faults of the store started or ended.
	storeFaults []time.Time
	// peakMemory is the largest resident memory of a process that was seen, in bytes.
	peakMemory int64
	log        bytes.Buffer
	// logStart is the length of the log at the start of the process.
	logStart   int
	violations []string
	closed     bool
	wg         sync.WaitGroup
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
	node.logStart, node.lives = node.log.Len(), append(node.lives, Period{From: node.startedAt})
	node.endDisruptions()
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
	node.lives[len(node.lives)-1].To = time.Now()
	switch {
	case len(node.stopSignals) == 0:
		node.violations = append(node.violations, fmt.Sprintf("process of %s exited unexpectedly: %v", node.settings.Node, err))
	case node.stoppedAtStart(err):
	case slices.Contains(node.stopSignals, syscall.SIGKILL):
	case err != nil:
		node.violations = append(node.violations, fmt.Sprintf("process of %s exited with an error after SIGTERM: %v", node.settings.Node, err))
	case !node.stopLogged():
		node.violations = append(node.violations, fmt.Sprintf("process of %s did not log the end of its stop", node.settings.Node))
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

// stopLogged reports whether the last process logged the end of its stop, if it logged the
// begin. The caller holds node.mu.
func (node *Node) stopLogged() bool {
	log := node.log.Bytes()[node.logStart:]
	return len(log) >= maxLogBytes-node.logStart || !bytes.Contains(log, []byte("event=stopping ")) || bytes.Contains(log, []byte("event=stop "))
}

// programStart is the time within which the program of a process may not have begun yet. It
// can't handle signals before.
const programStart = 100 * time.Millisecond

// stoppedAtStart reports whether the process ended with err because SIGTERM arrived before
// its program began. The caller holds node.mu.
func (node *Node) stoppedAtStart(err error) bool {
	var exit *exec.ExitError
	if len(node.terms) == 0 || !errors.As(err, &exit) || node.terms[len(node.terms)-1].Sub(node.startedAt) > programStart {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
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
		if sig == syscall.SIGTERM {
			node.terms = append(node.terms, time.Now())
		} else {
			node.disruptions = append(node.disruptions, Period{From: time.Now()})
		}
	case syscall.SIGHUP:
		node.reloads = append(node.reloads, time.Now())
	case syscall.SIGSTOP:
		node.frozen = true
		node.disruptions = append(node.disruptions, Period{From: time.Now()})
	case syscall.SIGCONT:
		node.frozen = false
		node.endDisruptions()
	}
	// The error is ignored: a process that has just exited needs no signal.
	_ = node.cmd.Process.Signal(sig)
}

// stopping reports whether a process was sent a signal to stop and has not ended yet, or
// has not been followed by another one.
func (node *Node) stopping() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return !node.closed && (node.cmd == nil || len(node.stopSignals) > 0)
}

// Delay makes the process run late by the time. It does not count as a disruption.
func (node *Node) Delay(late time.Duration) {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.cmd == nil {
		return
	}
	// Errors are ignored: a process that has just exited can't run late.
	proc := node.cmd.Process
	_ = proc.Signal(syscall.SIGSTOP)
	time.AfterFunc(late, func() { _ = proc.Signal(syscall.SIGCONT) })
}

// endDisruptions ends the disruptions that last. The caller holds node.mu.
func (node *Node) endDisruptions() {
	for idx := range node.disruptions {
		if node.disruptions[idx].To.IsZero() {
			node.disruptions[idx].To = time.Now()
		}
	}
}

// history returns the times of SIGTERM and SIGHUP, the unplanned disruptions and the
// periods in which a process ran.
func (node *Node) history() (terms, reloads []time.Time, disruptions, lives []Period) {
	node.mu.Lock()
	defer node.mu.Unlock()
	return slices.Clone(node.terms), slices.Clone(node.reloads), slices.Clone(node.disruptions), slices.Clone(node.lives)
}

// logTimeFormat is the format of times in the log.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

var requestField = regexp.MustCompile(`(?m)^time="([^"]*)".* request=([0-9a-f]{16})`)

// loggedRequests returns the IDs of the requests that the log names, with the times of the
// last lines that name them.
func (node *Node) loggedRequests() map[string]string {
	out := map[string]string{}
	log, _ := node.logAndViolations()
	for _, match := range requestField.FindAllSubmatch(log, -1) {
		out[string(match[2])] = string(match[1])
	}
	return out
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

// memoryPeak returns the largest resident memory of a process that was seen, in bytes.
func (node *Node) memoryPeak() int64 {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.peakMemory
}

// recordFault records that a fault of the store has just started or ended at the node.
func (node *Node) recordFault() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.lastFaultAt = time.Now()
	node.storeFaults = append(node.storeFaults, node.lastFaultAt)
}

// storeFaultTimes returns when faults of the store started and ended at the node.
func (node *Node) storeFaultTimes() []time.Time {
	node.mu.Lock()
	defer node.mu.Unlock()
	return slices.Clone(node.storeFaults)
}
