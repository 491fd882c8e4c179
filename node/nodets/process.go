package nodets

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"

	"gotest.tools/v3/assert"

	"kumquathinge/node"
)

// process is an entry VM that runs as a process of its own.
type process struct {
	cmd *exec.Cmd
}

// Build builds the program of a package in dir and returns its path.
func Build(dir, pkg string) (string, error) {
	out := filepath.Join(dir, filepath.Base(pkg))
	cmd := exec.Command("go", "build", "-o", out, pkg)
	cmd.Stderr = os.Stderr
	return out, cmd.Run()
}

// startProcess starts the daemon with a start file of its own.
func (sys *System) startProcess(cfg node.Config) *EntryVM {
	sys.tb.Helper()
	const anyAddr = "127.0.0.1:0"
	cfg.Listen = node.Listen{Callers: anyAddr, Operators: anyAddr, Peers: anyAddr, Metrics: anyAddr}
	raw, err := json.Marshal(cfg)
	assert.NilError(sys.tb, err)
	file := filepath.Join(sys.tb.TempDir(), string(cfg.Node)+".json")
	assert.NilError(sys.tb, os.WriteFile(file, raw, 0o600))
	cmd := exec.Command(sys.config.Program, "--config", file)
	out, err := cmd.StderrPipe()
	assert.NilError(sys.tb, err)
	assert.NilError(sys.tb, cmd.Start())
	addrs := make(chan node.Listen, 1)
	go sys.readLog(out, addrs)
	proc := &process{cmd: cmd}
	entry := &EntryVM{
		Name:    cfg.Node,
		Zone:    cfg.Zone,
		Addrs:   <-addrs,
		process: proc,
		stop:    func() { proc.signal(syscall.SIGTERM) },
		done:    make(chan error, 1),
	}
	go func() { entry.done <- cmd.Wait() }()
	return entry
}

// listenAddrPattern matches the addresses in the line that the daemon logs at
// its start.
var listenAddrPattern = regexp.MustCompile(`(callers|metrics|operators|peers)="?([0-9.:]+)"?`)

// readLog reads the daemon's log until it ends, and sends the addresses that
// the daemon listens on. It closes addrs without sending if the daemon ends
// before.
func (sys *System) readLog(src io.Reader, addrs chan<- node.Listen) {
	defer close(addrs)
	scanner := bufio.NewScanner(src)
	for scanner.Scan() {
		if sys.config.Verbose {
			sys.tb.Log(scanner.Text())
		}
		if !strings.Contains(scanner.Text(), "event=start ") {
			continue
		}
		got := make(map[string]string)
		for _, match := range listenAddrPattern.FindAllStringSubmatch(scanner.Text(), -1) {
			got[match[1]] = match[2]
		}
		addrs <- node.Listen{
			Callers:   got["callers"],
			Operators: got["operators"],
			Peers:     got["peers"],
			Metrics:   got["metrics"],
		}
	}
}

// signal sends a signal to the process unless it has ended.
func (proc *process) signal(sig syscall.Signal) { _ = proc.cmd.Process.Signal(sig) }

// Kill kills the entry VM's process.
func (entry *EntryVM) Kill() { entry.signal(syscall.SIGKILL) }

// Suspend suspends the entry VM's process.
func (entry *EntryVM) Suspend() { entry.signal(syscall.SIGSTOP) }

// Resume resumes the entry VM's process.
func (entry *EntryVM) Resume() { entry.signal(syscall.SIGCONT) }

// signal sends a signal if the entry VM is a process.
func (entry *EntryVM) signal(sig syscall.Signal) {
	if entry.process != nil {
		entry.process.signal(sig)
	}
}
