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

// Build builds the program of a package into a folder of the test and returns
// its path.
func Build(dir, pkg string) (string, error) {
	out := filepath.Join(dir, filepath.Base(pkg))
	cmd := exec.Command("go", "build", "-o", out, pkg)
	cmd.Stderr = os.Stderr
	return out, cmd.Run()
}

// startProcess starts the daemon with a start file of its own.
func (sys *System) startProcess(cfg node.Config) *Member {
	sys.tst.Helper()
	const any = "127.0.0.1:0"
	cfg.Listen = node.Listen{Callers: any, Operators: any, Peers: any, Metrics: any}
	raw, err := json.Marshal(cfg)
	assert.NilError(sys.tst, err)
	file := filepath.Join(sys.tst.TempDir(), string(cfg.Node)+".json")
	assert.NilError(sys.tst, os.WriteFile(file, raw, 0o600))
	cmd := exec.Command(sys.cfg.Program, "--config", file)
	out, err := cmd.StderrPipe()
	assert.NilError(sys.tst, err)
	assert.NilError(sys.tst, cmd.Start())
	addrs := make(chan node.Listen, 1)
	go sys.follow(out, addrs)
	prc := &process{cmd: cmd}
	mem := &Member{
		Name:  cfg.Node,
		Zone:  cfg.Zone,
		Addrs: <-addrs,
		proc:  prc,
		stop:  func() { prc.signal(syscall.SIGTERM) },
		done:  make(chan error, 1),
	}
	go func() { mem.done <- cmd.Wait() }()
	return mem
}

// startLine matches the addresses in the line that a started daemon logs.
var startLine = regexp.MustCompile(`(callers|metrics|operators|peers)="?([0-9.:]+)"?`)

// follow reads the daemon's log until it ends, and sends the addresses that it
// listens on. It sends none if the daemon ended before.
func (sys *System) follow(src io.Reader, addrs chan<- node.Listen) {
	defer close(addrs)
	scn := bufio.NewScanner(src)
	for scn.Scan() {
		if sys.cfg.Verbose {
			sys.tst.Log(scn.Text())
		}
		if !strings.Contains(scn.Text(), "event=start ") {
			continue
		}
		got := make(map[string]string)
		for _, mat := range startLine.FindAllStringSubmatch(scn.Text(), -1) {
			got[mat[1]] = mat[2]
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
func (prc *process) signal(sig syscall.Signal) { _ = prc.cmd.Process.Signal(sig) }

// Kill kills the entry VM's process.
func (mem *Member) Kill() { mem.send(syscall.SIGKILL) }

// Freeze suspends the entry VM's process.
func (mem *Member) Freeze() { mem.send(syscall.SIGSTOP) }

// Thaw lets the entry VM's process go on.
func (mem *Member) Thaw() { mem.send(syscall.SIGCONT) }

// send sends a signal if the entry VM is a process.
func (mem *Member) send(sig syscall.Signal) {
	if mem.proc != nil {
		mem.proc.signal(sig)
	}
}
