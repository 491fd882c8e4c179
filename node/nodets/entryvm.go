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

// EntryVM is an entry VM of a System.
type EntryVM struct {
	Name  core.NodeName
	Zone  core.Zone
	Addrs node.Listen

	process *process
	stop    func()
	done    chan error
}

// AddEntryVM starts an entry VM.
func (sys *System) AddEntryVM(name core.NodeName, zone core.Zone) *EntryVM {
	sys.tb.Helper()
	cfg := node.Config{Node: name, Zone: zone, Log: sys.Log.Addr(), VMs: sys.VMList.Addr(), TLS: sys.config.TLS}
	for _, operator := range sys.config.Operators {
		cfg.Operators = append(cfg.Operators, node.Operator{Name: operator.Name, KeyHash: hashKey(operator.Key)})
	}
	for _, entry := range sys.EntryVMs {
		cfg.Seeds = append(cfg.Seeds, entry.Addrs.Peers)
	}
	var entry *EntryVM
	if sys.config.Program != "" {
		entry = sys.startProcess(cfg)
	} else {
		entry = sys.startInProcess(cfg)
	}
	sys.EntryVMs = append(sys.EntryVMs, entry)
	sys.tb.Cleanup(func() {
		sys.stopAll()
		_ = entry.Wait()
	})
	return entry
}

// stopAll begins to stop all entry VMs, so that they stop concurrently.
func (sys *System) stopAll() {
	for _, entry := range sys.EntryVMs {
		entry.Resume()
		entry.Stop()
	}
}

// startInProcess starts an entry VM within the test's process.
func (sys *System) startInProcess(cfg node.Config) *EntryVM {
	sys.tb.Helper()
	const anyAddr = "127.0.0.1:0"
	cfg.Listen = node.Listen{Callers: anyAddr, Operators: anyAddr, Peers: anyAddr, Metrics: anyAddr}
	log := logrus.New()
	if !sys.config.Verbose {
		log.SetOutput(io.Discard)
	}
	zone := cfg.Zone
	daemon, err := node.Build(cfg, log,
		node.WithLog(newPartitionedLog(cfg.Log, sys.partitions, zone)),
		node.WithLister(newPartitionedLister(cfg.VMs, sys.partitions, zone)),
		node.WithPeerDialer(func(ctx context.Context, network, addr string) (net.Conn, error) {
			return sys.partitions.dial(ctx, zone, network, addr)
		}),
	)
	assert.NilError(sys.tb, err)
	sys.partitions.setAddrZone(daemon.Addrs().Peers, zone)
	ctx, cancel := context.WithCancel(context.Background())
	entry := &EntryVM{Name: cfg.Node, Zone: zone, Addrs: daemon.Addrs(), stop: cancel, done: make(chan error, 1)}
	go func() { entry.done <- daemon.Run(ctx) }()
	return entry
}

// Stop begins the planned stop of an entry VM.
func (entry *EntryVM) Stop() { entry.stop() }

// Wait waits until the entry VM has stopped and returns its error.
func (entry *EntryVM) Wait() error {
	err := <-entry.done
	entry.done <- err
	return err
}
