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

// maxLog is the part of a node's log that is kept, in bytes.
const maxLog = 64 << 20

// Node is an entry VM: one process at a time, which starts again when it ends.
type Node struct {
	set  site.Settings
	gate *platfk.Endpoint
	prx  *Proxy
	path string
	prog string

	mtx sync.Mutex
	cmd *exec.Cmd
	// since is the start of the process, harmed the last time at which a fault
	// struck it.
	since, harmed time.Time
	frozen        bool
	// told are the signals that end the present process.
	told   []syscall.Signal
	down   time.Duration
	log    bytes.Buffer
	faults []string
	closed bool
	wgr    sync.WaitGroup
}

// start writes the settings and starts the first process.
func (nod *Node) start(dir, prog string) error {
	raw, err := platfk.SettingsFile(nod.set)
	if err != nil {
		return err
	}
	nod.prog, nod.path = prog, filepath.Join(dir, nod.set.Node+".json")
	err = os.WriteFile(nod.path, raw, 0o600)
	if err != nil {
		return err
	}
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	return nod.spawn()
}

// Write keeps the log of the processes.
func (nod *Node) Write(raw []byte) (int, error) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	if nod.log.Len() < maxLog {
		nod.log.Write(raw)
	}
	return len(raw), nil
}

// spawn starts a process. The caller holds the lock.
func (nod *Node) spawn() error {
	cmd := exec.Command(nod.prog, "--settings", nod.path)
	cmd.Stdout, cmd.Stderr = nod, nod
	err := cmd.Start()
	if err != nil {
		return err
	}
	nod.cmd, nod.since, nod.frozen, nod.told, nod.down = cmd, time.Now(), false, nil, 0
	nod.wgr.Go(func() { nod.wait(cmd) })
	return nil
}

// endSlack is the time that a process may end later than its grace, as the
// machine is shared.
const endSlack = time.Second

// wait waits for the end of a process, judges it, and starts the next one.
func (nod *Node) wait(cmd *exec.Cmd) {
	err := cmd.Wait()
	nod.mtx.Lock()
	switch {
	case len(nod.told) == 0:
		nod.faults = append(nod.faults, fmt.Sprintf("process of %s ended by itself: %v", nod.set.Node, err))
	case !slices.Contains(nod.told, syscall.SIGKILL) && err != nil:
		nod.faults = append(nod.faults, fmt.Sprintf("process of %s was told to stop and ended with %v", nod.set.Node, err))
	}
	down := nod.down
	nod.cmd = nil
	nod.mtx.Unlock()
	time.Sleep(down)
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	nod.harmed = time.Now()
	if nod.closed {
		return
	}
	err = nod.spawn()
	if err != nil {
		nod.faults = append(nod.faults, fmt.Sprintf("process of %s doesn't start: %v", nod.set.Node, err))
	}
}

// Signal sends a signal to the process, by its ID. After an end it starts
// again, down later.
func (nod *Node) Signal(sig syscall.Signal, down time.Duration) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	nod.harmed = time.Now()
	if nod.cmd == nil {
		return
	}
	switch sig {
	case syscall.SIGTERM, syscall.SIGKILL:
		nod.told, nod.down = append(nod.told, sig), down
		cmd := nod.cmd
		time.AfterFunc(nod.set.StopGrace+endSlack, func() { nod.overdue(cmd) })
	case syscall.SIGSTOP:
		nod.frozen = true
	case syscall.SIGCONT:
		nod.frozen = false
	}
	// A process that has just ended needs no signal.
	_ = nod.cmd.Process.Signal(sig)
}

// overdue kills a process that has not ended within its grace.
func (nod *Node) overdue(cmd *exec.Cmd) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	if nod.cmd != cmd {
		return
	}
	if !nod.frozen {
		nod.faults = append(nod.faults, fmt.Sprintf("process of %s has not ended within its grace", nod.set.Node))
	}
	nod.told = append(nod.told, syscall.SIGKILL)
	_ = cmd.Process.Kill()
}

// steady reports whether the process has run unharmed for a time.
func (nod *Node) steady(dur time.Duration) bool {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	now := time.Now()
	return !nod.frozen && len(nod.told) == 0 && now.Sub(nod.since) > dur && now.Sub(nod.harmed) > dur
}

// close kills the process for good.
func (nod *Node) close() {
	nod.mtx.Lock()
	nod.closed = true
	nod.told, nod.down = append(nod.told, syscall.SIGKILL), 0
	if nod.cmd != nil {
		_ = nod.cmd.Process.Kill()
	}
	nod.mtx.Unlock()
	nod.wgr.Wait()
	nod.prx.Close()
	nod.gate.Close()
}

// text returns the log of the processes and what was wrong with them.
func (nod *Node) text() (log []byte, faults []string) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	return append([]byte(nil), nod.log.Bytes()...), append([]string(nil), nod.faults...)
}

// mark notes that a fault strikes the node.
func (nod *Node) mark() {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	nod.harmed = time.Now()
}
