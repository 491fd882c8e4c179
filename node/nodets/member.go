package nodets

import (
	"context"
	"io"
	"net"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/node"
)

// Member is an entry VM of a System.
type Member struct {
	Name  core.NodeName
	Zone  core.Zone
	Addrs node.Listen

	proc *process
	stop func()
	done chan error
}

// AddMember starts an entry VM.
func (sys *System) AddMember(nam core.NodeName, zon core.Zone) *Member {
	sys.tst.Helper()
	cfg := node.Config{Node: nam, Zone: zon, Log: sys.Log.Addr(), VMs: sys.List.Addr(), TLS: sys.cfg.TLS}
	for _, opr := range sys.cfg.Operators {
		cfg.Operators = append(cfg.Operators, node.Operator{Name: opr.Name, KeyHash: keyHash(opr.Key)})
	}
	for _, mem := range sys.Members {
		cfg.Seeds = append(cfg.Seeds, mem.Addrs.Peers)
	}
	var mem *Member
	if sys.cfg.Program != "" {
		mem = sys.startProcess(cfg)
	} else {
		mem = sys.startTask(cfg)
	}
	sys.Members = append(sys.Members, mem)
	sys.tst.Cleanup(func() {
		sys.stopAll()
		_ = mem.Wait()
	})
	return mem
}

// stopAll begins to stop every entry VM, so that they stop at one time.
func (sys *System) stopAll() {
	for _, mem := range sys.Members {
		mem.Thaw()
		mem.Stop()
	}
}

// startTask starts an entry VM within the test's process.
func (sys *System) startTask(cfg node.Config) *Member {
	sys.tst.Helper()
	const any = "127.0.0.1:0"
	cfg.Listen = node.Listen{Callers: any, Operators: any, Peers: any, Metrics: any}
	log := logrus.New()
	if !sys.cfg.Verbose {
		log.SetOutput(io.Discard)
	}
	zon := cfg.Zone
	nod, err := node.Build(cfg, log,
		node.WithLog(newCutLog(cfg.Log, sys.cuts, zon)),
		node.WithLister(newCutLister(cfg.VMs, sys.cuts, zon)),
		node.WithPeerDialer(func(ctx context.Context, network, addr string) (net.Conn, error) {
			return sys.cuts.dial(ctx, zon, network, addr)
		}),
	)
	assert.NilError(sys.tst, err)
	sys.cuts.listens(nod.Addrs().Peers, zon)
	ctx, cancel := context.WithCancel(context.Background())
	mem := &Member{Name: cfg.Node, Zone: zon, Addrs: nod.Addrs(), stop: cancel, done: make(chan error, 1)}
	go func() { mem.done <- nod.Run(ctx) }()
	return mem
}

// Stop begins the planned stop of an entry VM.
func (mem *Member) Stop() { mem.stop() }

// Wait waits until the entry VM has stopped and returns what it ended with.
func (mem *Member) Wait() error {
	err := <-mem.done
	mem.done <- err
	return err
}
