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
	Key     = "caller-key"
	Org     = core.OrgName("andes")
	Model   = "alerts"
	Service = "fees"

	enginesPerZone = 4
	groupSize      = 2
	awaitBound     = 60 * time.Second
	pollDelay      = 10 * time.Millisecond
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
	// Size is the number of VMs of a group, 2 by default.
	Size int
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
	Log     *stand.Log
	List    *stand.VMs
	Engines map[core.VMName]*stand.Engine
	Plain   *stand.Plain
	Members []*Member

	tst  testing.TB
	cfg  Config
	vms  []core.VM
	cuts *cuts
	oper operator
}

// Cut cuts a zone off, or heals it with the zero Cut.
func (sys *System) Cut(zon core.Zone, cut Cut) { sys.cuts.set(zon, cut) }

// Start starts a System and waits until every group serves. It ends with the
// test.
func Start(tst testing.TB, cfg Config) *System {
	tst.Helper()
	if cfg.Groups == nil {
		cfg.Groups = map[string]core.Zone{"alerts-1": "z1", "alerts-2": "z2"}
	}
	sys := &System{
		Log:     stand.NewLog(),
		Engines: make(map[core.VMName]*stand.Engine),
		Plain:   stand.NewPlain("fees-1"),
		tst:     tst,
		cfg:     cfg,
		cuts:    newCuts(),
	}
	sys.oper = sys.newOperator()
	sys.startStandIns()
	for idx, zon := range []core.Zone{"z1", "z1", "z2", "z3"} {
		sys.AddMember(core.NodeName(fmt.Sprintf("e%d", idx+1)), zon)
	}
	sys.configure()
	sys.AwaitServing(len(cfg.Groups))
	return sys
}

// server is a stand-in.
type server interface {
	Start(addr string) error
	Addr() string
	Close() error
}

// start starts a stand-in until the test ends.
func (sys *System) start(srv server) {
	sys.tst.Helper()
	assert.NilError(sys.tst, srv.Start("127.0.0.1:0"))
	sys.tst.Cleanup(func() { _ = srv.Close() })
}

// startStandIns starts all stand-ins.
func (sys *System) startStandIns() {
	sys.tst.Helper()
	sys.start(sys.Log)
	sys.start(sys.Plain)
	for zdx, zon := range Zones {
		for idx := range enginesPerZone {
			sys.addEngine(core.VMName(fmt.Sprintf("vm-%d", zdx*enginesPerZone+idx)), zon, idx/groupSize)
		}
	}
	sys.vms = append(sys.vms, core.VM{
		Name: "fees-1", Addr: sys.Plain.Addr(), Zone: Zones[0], Kind: core.VMPlain, Service: Service,
	})
	sys.List = stand.NewVMs(sys.vms...)
	sys.start(sys.List)
}

// addEngine starts an engine and lists it.
func (sys *System) addEngine(nam core.VMName, zon core.Zone, dom int) {
	sys.tst.Helper()
	cfg := sys.cfg.Engine
	cfg.VM = nam
	cfg.Fencing = true
	eng := stand.NewEngine(cfg)
	sys.start(eng)
	sys.Engines[nam] = eng
	sys.vms = append(sys.vms, core.VM{
		Name:   nam,
		Addr:   eng.Addr(),
		Zone:   zon,
		Domain: core.Domain(fmt.Sprintf("%s-d%d", zon, dom)),
		Kind:   core.VMEngine,
	})
}

// keyHash returns the hash by which the system knows a key.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// configure applies the settings.
func (sys *System) configure() {
	sys.tst.Helper()
	sys.Set("/orgs/"+string(Org), "org.key_hashes", []string{keyHash(Key)})
	sys.Set("/", "vm.fencing", true)
	sys.Set("/services/"+Service, "service.enabled", true)
	for pth, kvs := range sys.cfg.Settings {
		for key, val := range kvs {
			sys.Set(pth, key, val)
		}
	}
	mod := "/models/" + Model
	sys.Set(mod, "model.version", "v1")
	sys.Set(mod, "group.size", cmp.Or(sys.cfg.Size, groupSize))
	for grp, zon := range sys.cfg.Groups {
		sys.Set(mod+"/groups/"+grp, "group.zone", zon)
	}
	sys.Set(mod, "group.enabled", true)
}

// Set changes a setting through the first entry VM that answers and waits
// until it is accepted.
func (sys *System) Set(pth, key string, val any) {
	sys.tst.Helper()
	raw, err := json.Marshal(val)
	assert.NilError(sys.tst, err)
	sys.Await(func(poll.LogT) poll.Result {
		err := sys.TrySet(sys.Members[0], pth, key, raw)
		if err != nil {
			return poll.Continue("%s %s: %v", pth, key, err)
		}
		return poll.Success()
	})
}

// Await waits until the check succeeds.
func (sys *System) Await(chk poll.Check) {
	sys.tst.Helper()
	poll.WaitOn(sys.tst, chk, poll.WithDelay(pollDelay), poll.WithTimeout(awaitBound))
}

// AwaitServing waits until every entry VM is ready and so many groups of the
// model serve.
func (sys *System) AwaitServing(num int) {
	sys.tst.Helper()
	sys.Await(func(poll.LogT) poll.Result {
		got := 0
		for _, mem := range sys.Members {
			sta, err := sys.Status(mem)
			if err != nil || !sta.Ready {
				return poll.Continue("%s is not ready: %v", mem.Name, err)
			}
			if mem.Name == "e2" {
				continue
			}
			for _, grp := range sta.Groups {
				if grp.Serving {
					got++
				}
			}
		}
		if got < num {
			return poll.Continue("%d of %d groups serve", got, num)
		}
		return poll.Success()
	})
}
