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

// Names in a System.
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

// Zones of a System in order.
var Zones = []core.Zone{"z1", "z2", "z3"}

// Config varies a System. Zero fields take their defaults.
type Config struct {
	// Engine is the template of every engine.
	Engine stand.EngineConfig
	// Groups has the zone of each group of the model; the default is one in
	// the first and one in the second zone.
	Groups map[string]core.Zone
	// GroupSize is the number of VMs of a group, 2 by default.
	GroupSize int
	// Settings are applied beside the default ones, by path and key.
	Settings map[string]map[string]any
	// Program is the daemon's program. If it is set, each entry VM is a
	// process of its own, which a test can kill and freeze but not cut off.
	Program string
	// Operators may change settings; the first makes the System's own
	// changes. Without any, every caller may.
	Operators []Operator
	// TLS names the files of every entry VM and of the operator.
	TLS node.TLS
	// Verbose writes the log of the entry VMs to the test's output.
	Verbose bool
}

// Operator is one who may change settings by a key.
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

// Partition cuts a zone off, or heals it with the zero Cut.
func (sys *System) Partition(zone core.Zone, partition Partition) {
	sys.partitions.set(zone, partition)
}

// Start starts a System and waits until every group serves. It ends with the
// test.
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

// standIn is a stand-in.
type standIn interface {
	Start(addr string) error
	Addr() string
	Close() error
}

// startStandIn starts a stand-in until the test ends.
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

// addEngine starts an engine and lists it.
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

// hashKey returns the hash by which the system knows a key.
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

// Set changes a setting through the first entry VM that answers and waits
// until it is accepted.
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

// AwaitServing waits until every entry VM is ready and so many groups of the
// model serve.
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
