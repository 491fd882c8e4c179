package node

import (
	"sync/atomic"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/repair"
	"kumquathinge/core/tree"
)

// config is what a node reads off the settings tree. It is immutable.
type config struct {
	tree        *tree.Tree
	models      []core.ModelName
	services    []string
	orgs        []core.OrgName
	keys        map[string]core.OrgName
	drainVMs    core.Set[core.VMName]
	drainGroups core.Set[core.GroupName]
	fencing     fencing
	wanted      []repair.DesiredGroup
	interval    time.Duration
	bound       time.Duration
	weights     repair.Settings
}

// fencing tells which engines refuse old order numbers.
type fencing struct {
	all  bool
	some map[core.VMName]bool
}

// has reports whether the VM's engine refuses old order numbers.
func (fen fencing) has(nam core.VMName) bool {
	val, ok := fen.some[nam]
	if ok {
		return val
	}
	return fen.all
}

// newConfig reads the settings for a node of the zone.
func newConfig(tre *tree.Tree, zon core.Zone) *config {
	zcf := tre.Config(tree.ZonePath(zon))
	cfg := &config{
		tree:        tre,
		keys:        make(map[string]core.OrgName),
		drainVMs:    core.NewSet[core.VMName](),
		drainGroups: core.NewSet[core.GroupName](),
		fencing:     fencing{all: tre.Config("/").Bool("vm.fencing"), some: make(map[core.VMName]bool)},
		interval:    zcf.Duration("probe.interval"),
		bound:       zcf.Duration("probe.bound"),
		weights:     readWeights(zcf),
	}
	for _, pth := range tre.Paths() {
		cfg.read(pth, zon)
	}
	return cfg
}

// read takes in one node of the settings tree.
func (cfg *config) read(pth tree.Path, zon core.Zone) {
	plc, err := pth.Kind()
	if err != nil {
		return
	}
	switch plc {
	case tree.KindModel:
		cfg.models = append(cfg.models, core.ModelName(pth.Name()))
	case tree.KindService:
		cfg.services = append(cfg.services, pth.Name())
	case tree.KindGroup:
		cfg.readGroup(pth, zon)
	case tree.KindOrg:
		cfg.orgs = append(cfg.orgs, core.OrgName(pth.Name()))
		for _, sum := range cfg.tree.Config(pth).Strings("org.key_hashes") {
			cfg.keys[sum] = core.OrgName(pth.Name())
		}
	case tree.KindVM:
		nam := core.VMName(pth.Name())
		cfg.fencing.some[nam] = cfg.tree.Config(pth).Bool("vm.fencing")
		if cfg.tree.Config(pth).Bool("vm.draining") {
			cfg.drainVMs.Add(nam)
		}
	}
}

// readGroup takes in a group if it is in the zone.
func (cfg *config) readGroup(pth tree.Path, zon core.Zone) {
	par, _ := pth.Parent()
	gcf := cfg.tree.Config(pth)
	if core.Zone(gcf.String("group.zone")) != zon {
		return
	}
	wan := repair.DesiredGroup{
		Group:  core.GroupName(pth.Name()),
		Zone:   zon,
		Domain: core.Domain(gcf.String("group.domain")),
		Size:   gcf.Int("group.size"),
		Spec: core.Spec{
			Model:    core.ModelName(par.Name()),
			Version:  gcf.String("model.version"),
			Adapters: gcf.Strings("model.adapters"),
			Role:     core.Role(gcf.String("model.role")),
		},
		Enabled:  gcf.Bool("group.enabled"),
		Draining: gcf.Bool("group.draining"),
	}
	if wan.Draining {
		cfg.drainGroups.Add(wan.Group)
	}
	cfg.wanted = append(cfg.wanted, wan)
}

// world is what a node reads off one view of the folded state. It is
// immutable. Assigned and byModel have the assignments of the node's zone, the
// other fields those of all zones.
type world struct {
	*config
	everywhere []core.Assignment
	assigned   []core.Assignment
	byModel    map[core.ModelName][]core.Assignment
	held       core.Set[core.VMName]
	holds      []fold.Hold
}

// newWorld reads the view for a node of the zone.
func newWorld(vie *fold.View, cfg *config, zon core.Zone) *world {
	wor := &world{
		config:     cfg,
		everywhere: vie.Assignments(),
		holds:      vie.Holds(),
		byModel:    make(map[core.ModelName][]core.Assignment),
		held:       core.NewSet[core.VMName](),
	}
	for _, hld := range wor.holds {
		wor.held.Add(hld.VM)
	}
	for _, asg := range wor.everywhere {
		if asg.Zone != zon {
			continue
		}
		wor.assigned = append(wor.assigned, asg)
		wor.byModel[asg.Spec.Model] = append(wor.byModel[asg.Spec.Model], asg)
	}
	return wor
}

// leaving returns the VMs that get no new work: those that the list names as
// leaving and those that the settings drain.
func (wor *world) leaving(ros *roster) core.Set[core.VMName] {
	set := core.NewSet(wor.drainVMs.Sorted()...)
	for _, vmx := range ros.vms {
		if vmx.Leaving {
			set.Add(vmx.Name)
		}
	}
	return set
}

// fenced returns the listed and held VMs whose engines refuse old order
// numbers.
func (wor *world) fenced(ros *roster) core.Set[core.VMName] {
	set := core.NewSet[core.VMName]()
	for _, vmx := range ros.vms {
		if wor.fencing.has(vmx.Name) {
			set.Add(vmx.Name)
		}
	}
	for _, nam := range wor.held.Sorted() {
		if wor.fencing.has(nam) {
			set.Add(nam)
		}
	}
	return set
}

// readWeights reads the weights of the repair policy.
func readWeights(cfg tree.Config) repair.Settings {
	return repair.Settings{
		DowntimeWeight: cfg.Float("policy.downtime_weight"),
		StrandedWeight: cfg.Float("policy.stranded_weight"),
		ReturnTimeout:  cfg.Duration("policy.return_wait"),
		Spares:         cfg.Int("policy.spares"),
		LoadsPerMinute: cfg.Float("weights.loads_per_minute"),
		OrderLease:     cfg.Duration("order.lease"),
		MaxProbeAge:    cfg.Duration("probe.bound"),
	}
}

// worlds caches the world of the newest view. The settings are read again only
// when they have changed.
type worlds struct {
	zone core.Zone
	view func() *fold.View
	cur  atomic.Pointer[cached]
}

// cached is a world beside the view that it was read from.
type cached struct {
	view  *fold.View
	world *world
}

// get returns the world of the newest view.
func (wls *worlds) get() *world {
	vie := wls.view()
	cur := wls.cur.Load()
	if cur != nil && cur.view == vie {
		return cur.world
	}
	var cfg *config
	if cur != nil && cur.view.Tree() == vie.Tree() {
		cfg = cur.world.config
	} else {
		cfg = newConfig(vie.Tree(), wls.zone)
	}
	wor := newWorld(vie, cfg, wls.zone)
	wls.cur.Store(&cached{view: vie, world: wor})
	return wor
}
