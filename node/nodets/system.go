package nodets

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/node"
	"kumquathinge/stand"
)

// Names, sizes and timing of a System.
const (
	CallerKey = "caller-key"
	Org       = core.OrgName("andes")
	Model     = "alerts"
	Service   = "fees"

	enginesPerZone = 4
	groupSize      = 2
	awaitTimeout   = 60 * time.Second
	pollInterval   = 10 * time.Millisecond
)

// Zones are the zones of a System in order.
var Zones = []core.Zone{"z1", "z2", "z3"}

// Config configures a System. Zero fields get their defaults.
type Config struct {
	// Engine is the template of every engine.
	Engine stand.EngineConfig
	// Groups maps each group of the model to its zone. The default is one
	// group in the first zone and one in the second.
	Groups map[string]core.Zone
	// GroupSize is the number of VMs of a group, 2 by default.
	GroupSize int
	// Settings are applied in addition to the default ones, by path and key.
	Settings map[string]map[string]any
	// Program is the path of the daemon. If it is set, each entry VM is a
	// process of its own, which a test can kill and suspend but not partition.
	Program string
	// Operators may change settings; the first makes the System's own changes.
	// Without operators, every caller may.
	Operators []Operator
	// TLS names the certificate files of all entry VMs and of the operator.
	TLS node.TLS
	// Verbose writes the log of the entry VMs to the test's output.
	Verbose bool
}

// Operator has the name and key of a person who may change settings.
type Operator struct {
	Name string
	Key  string
}

// System is a set of entry VMs and stand-ins.
type System struct {
	Log      *stand.Log
	VMList   *stand.VMs
	Engines  map[core.VMName]*stand.Engine
	Plain    *stand.Plain
	EntryVMs []*EntryVM

	tb         testing.TB
	config     Config
	vms        []core.VM
	partitions *partitionSet
	operator   operatorClient
}

// Partition sets the partition of a zone; the zero Partition ends it.
func (sys *System) Partition(zone core.Zone, partition Partition) {
	sys.partitions.set(zone, partition)
}

// Start starts a System and waits until every group serves. The System stops
// at the end of the test.
func Start(tb testing.TB, cfg Config) *System {
	tb.Helper()
	if cfg.Groups == nil {
		cfg.Groups = map[string]core.Zone{"alerts-1": "z1", "alerts-2": "z2"}
	}
	sys := &System{
		Log:        stand.NewLog(),
		Engines:    make(map[core.VMName]*stand.Engine),
		Plain:      stand.NewPlain("fees-1"),
		tb:         tb,
		config:     cfg,
		partitions: newPartitionSet(),
	}
	sys.operator = sys.newOperatorClient()
	sys.startStandIns()
	for idx, zone := range []core.Zone{"z1", "z1", "z2", "z3"} {
		sys.AddEntryVM(core.NodeName(fmt.Sprintf("e%d", idx+1)), zone)
	}
	sys.configure()
	sys.AwaitServing(len(cfg.Groups))
	return sys
}

// standIn is a server that stands in for a system around the entry VMs.
type standIn interface {
	Start(addr string) error
	Addr() string
	Close() error
}

// startStandIn starts a stand-in that runs until the end of the test.
func (sys *System) startStandIn(srv standIn) {
	sys.tb.Helper()
	assert.NilError(sys.tb, srv.Start("127.0.0.1:0"))
	sys.tb.Cleanup(func() { _ = srv.Close() })
}

// startStandIns starts all stand-ins.
func (sys *System) startStandIns() {
	sys.tb.Helper()
	sys.startStandIn(sys.Log)
	sys.startStandIn(sys.Plain)
	for zoneIdx, zone := range Zones {
		for idx := range enginesPerZone {
			sys.addEngine(core.VMName(fmt.Sprintf("vm-%d", zoneIdx*enginesPerZone+idx)), zone, idx/groupSize)
		}
	}
	sys.vms = append(sys.vms, core.VM{
		Name: "fees-1", Addr: sys.Plain.Addr(), Zone: Zones[0], Kind: core.VMPlain, Service: Service,
	})
	sys.VMList = stand.NewVMs(sys.vms...)
	sys.startStandIn(sys.VMList)
}

// addEngine starts an engine and adds it to the VM list.
func (sys *System) addEngine(name core.VMName, zone core.Zone, domain int) {
	sys.tb.Helper()
	cfg := sys.config.Engine
	cfg.VM = name
	cfg.Fencing = true
	eng := stand.NewEngine(cfg)
	sys.startStandIn(eng)
	sys.Engines[name] = eng
	sys.vms = append(sys.vms, core.VM{
		Name:   name,
		Addr:   eng.Addr(),
		Zone:   zone,
		Domain: core.Domain(fmt.Sprintf("%s-d%d", zone, domain)),
		Kind:   core.VMEngine,
	})
}

// hashKey returns the hash of a key as stored in the settings.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// configure applies the settings.
func (sys *System) configure() {
	sys.tb.Helper()
	sys.Set("/orgs/"+string(Org), "org.key_hashes", []string{hashKey(CallerKey)})
	sys.Set("/", "vm.fencing", true)
	sys.Set("/services/"+Service, "service.enabled", true)
	for path, values := range sys.config.Settings {
		for key, val := range values {
			sys.Set(path, key, val)
		}
	}
	modelPath := "/models/" + Model
	sys.Set(modelPath, "model.version", "v1")
	sys.Set(modelPath, "group.size", cmp.Or(sys.config.GroupSize, groupSize))
	for group, zone := range sys.config.Groups {
		sys.Set(modelPath+"/groups/"+group, "group.zone", zone)
	}
	sys.Set(modelPath, "group.enabled", true)
}

// Set changes a setting through the first entry VM, retrying until the change
// is accepted.
func (sys *System) Set(path, key string, val any) {
	sys.tb.Helper()
	raw, err := json.Marshal(val)
	assert.NilError(sys.tb, err)
	sys.Await(func(poll.LogT) poll.Result {
		err := sys.TrySet(sys.EntryVMs[0], path, key, raw)
		if err != nil {
			return poll.Continue("%s %s: %v", path, key, err)
		}
		return poll.Success()
	})
}

// Await waits until the check succeeds.
func (sys *System) Await(check poll.Check) {
	sys.tb.Helper()
	poll.WaitOn(sys.tb, check, poll.WithDelay(pollInterval), poll.WithTimeout(awaitTimeout))
}

// AwaitServing waits until every entry VM is ready and at least num groups of
// the model serve.
func (sys *System) AwaitServing(n int) {
	sys.tb.Helper()
	sys.Await(func(poll.LogT) poll.Result {
		got := 0
		for _, entry := range sys.EntryVMs {
			status, err := sys.Status(entry)
			if err != nil || !status.Ready {
				return poll.Continue("%s is not ready: %v", entry.Name, err)
			}
			if entry.Name == "e2" {
				continue
			}
			for _, group := range status.Groups {
				if group.Serving {
					got++
				}
			}
		}
		if got < n {
			return poll.Continue("%d of %d groups serve", got, n)
		}
		return poll.Success()
	})
}
