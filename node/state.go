package node

import (
	"sync/atomic"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/repair"
	"kumquathinge/core/tree"
)

// nodeSettings are the settings that a node uses, read from the settings tree.
// They are immutable.
type nodeSettings struct {
	tree           *tree.Tree
	models         []core.ModelName
	services       []string
	orgs           []core.OrgName
	orgByKeyHash   map[string]core.OrgName
	drainingVMs    core.Set[core.VMName]
	drainingGroups core.Set[core.GroupName]
	fencing        fencingSettings
	desiredGroups  []repair.DesiredGroup
	evacuated      bool
	probeInterval  time.Duration
	maxProbeAge    time.Duration
	repairSettings repair.Settings
}

// fencingSettings states for which VMs the engine rejects stale fencing
// tokens.
type fencingSettings struct {
	byDefault bool
	byVM      map[core.VMName]bool
}

// enabled reports whether the VM's engine rejects stale fencing tokens.
func (fencing fencingSettings) enabled(name core.VMName) bool {
	val, ok := fencing.byVM[name]
	if ok {
		return val
	}
	return fencing.byDefault
}

// newSettings reads the settings for a node of the zone.
func newSettings(settings *tree.Tree, zone core.Zone) *nodeSettings {
	zoneCfg := settings.Config(tree.ZonePath(zone))
	cfg := &nodeSettings{
		tree:           settings,
		orgByKeyHash:   make(map[string]core.OrgName),
		drainingVMs:    core.NewSet[core.VMName](),
		drainingGroups: core.NewSet[core.GroupName](),
		fencing:        fencingSettings{byDefault: settings.Config("/").Bool("vm.fencing"), byVM: make(map[core.VMName]bool)},
		evacuated:      zoneCfg.Bool("zone.evacuated"),
		probeInterval:  zoneCfg.Duration("probe.interval"),
		maxProbeAge:    zoneCfg.Duration("probe.bound"),
		repairSettings: readRepairSettings(zoneCfg),
	}
	for _, path := range settings.Paths() {
		cfg.readNode(path, zone)
	}
	return cfg
}

// readNode reads one node of the settings tree.
func (cfg *nodeSettings) readNode(path tree.Path, zone core.Zone) {
	kind, err := path.Kind()
	if err != nil {
		return
	}
	switch kind {
	case tree.KindModel:
		cfg.models = append(cfg.models, core.ModelName(path.Name()))
	case tree.KindService:
		cfg.services = append(cfg.services, path.Name())
	case tree.KindGroup:
		cfg.readGroup(path, zone)
	case tree.KindOrg:
		cfg.orgs = append(cfg.orgs, core.OrgName(path.Name()))
		for _, keyHash := range cfg.tree.Config(path).Strings("org.key_hashes") {
			cfg.orgByKeyHash[keyHash] = core.OrgName(path.Name())
		}
	case tree.KindVM:
		name := core.VMName(path.Name())
		cfg.fencing.byVM[name] = cfg.tree.Config(path).Bool("vm.fencing")
		if cfg.tree.Config(path).Bool("vm.draining") {
			cfg.drainingVMs.Add(name)
		}
	}
}

// readGroup reads the settings of a group if it is in the zone.
func (cfg *nodeSettings) readGroup(path tree.Path, zone core.Zone) {
	parent, _ := path.Parent()
	groupCfg := cfg.tree.Config(path)
	if core.Zone(groupCfg.String("group.zone")) != zone {
		return
	}
	desired := repair.DesiredGroup{
		Group:  core.GroupName(path.Name()),
		Zone:   zone,
		Domain: core.Domain(groupCfg.String("group.domain")),
		Size:   groupCfg.Int("group.size"),
		Spec: core.Spec{
			Model:    core.ModelName(parent.Name()),
			Version:  groupCfg.String("model.version"),
			Adapters: groupCfg.Strings("model.adapters"),
			Role:     core.Role(groupCfg.String("model.role")),
		},
		Enabled:  groupCfg.Bool("group.enabled"),
		Draining: groupCfg.Bool("group.draining"),
	}
	if desired.Draining {
		cfg.drainingGroups.Add(desired.Group)
	}
	cfg.desiredGroups = append(cfg.desiredGroups, desired)
}

// clusterState is what a node derives from one view of the replicated state.
// It is immutable. The fields zoneAssignments and assignmentsByModel have the
// assignments of the node's zone, the other fields those of all zones.
type clusterState struct {
	*nodeSettings
	allAssignments     []core.Assignment
	zoneAssignments    []core.Assignment
	assignmentsByModel map[core.ModelName][]core.Assignment
	heldVMs            core.Set[core.VMName]
	holds              []fold.Hold
}

// newClusterState derives the state for a node of the zone from a view.
func newClusterState(view *fold.View, cfg *nodeSettings, zone core.Zone) *clusterState {
	state := &clusterState{
		nodeSettings:       cfg,
		allAssignments:     view.Assignments(),
		holds:              view.Holds(),
		assignmentsByModel: make(map[core.ModelName][]core.Assignment),
		heldVMs:            core.NewSet[core.VMName](),
	}
	for _, hold := range state.holds {
		state.heldVMs.Add(hold.VM)
	}
	for _, assignment := range state.allAssignments {
		if assignment.Zone != zone {
			continue
		}
		state.zoneAssignments = append(state.zoneAssignments, assignment)
		state.assignmentsByModel[assignment.Spec.Model] = append(state.assignmentsByModel[assignment.Spec.Model], assignment)
	}
	return state
}

// leavingVMs returns the VMs that get no new work: those marked as leaving in
// the list and those that the settings drain.
func (state *clusterState) leavingVMs(list *vmList) core.Set[core.VMName] {
	set := core.NewSet(state.drainingVMs.Sorted()...)
	for _, vm := range list.vms {
		if vm.Leaving {
			set.Add(vm.Name)
		}
	}
	return set
}

// fencingVMs returns the listed and held VMs whose engines reject stale
// fencing tokens.
func (state *clusterState) fencingVMs(list *vmList) core.Set[core.VMName] {
	set := core.NewSet[core.VMName]()
	for _, vm := range list.vms {
		if state.fencing.enabled(vm.Name) {
			set.Add(vm.Name)
		}
	}
	for _, name := range state.heldVMs.Sorted() {
		if state.fencing.enabled(name) {
			set.Add(name)
		}
	}
	return set
}

// readRepairSettings reads the settings of the repair policy.
func readRepairSettings(cfg tree.Config) repair.Settings {
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

// clusterStateCache caches the state derived from the newest view. The
// settings are read again only when they have changed.
type clusterStateCache struct {
	zone    core.Zone
	view    func() *fold.View
	current atomic.Pointer[cachedState]
}

// cachedState is a derived state with the view that it comes from.
type cachedState struct {
	view  *fold.View
	state *clusterState
}

// get returns the state derived from the newest view.
func (stateCache *clusterStateCache) get() *clusterState {
	view := stateCache.view()
	cached := stateCache.current.Load()
	if cached != nil && cached.view == view {
		return cached.state
	}
	var cfg *nodeSettings
	if cached != nil && cached.view.Tree() == view.Tree() {
		cfg = cached.state.nodeSettings
	} else {
		cfg = newSettings(view.Tree(), stateCache.zone)
	}
	state := newClusterState(view, cfg, stateCache.zone)
	stateCache.current.Store(&cachedState{view: view, state: state})
	return state
}
