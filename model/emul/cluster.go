package emul

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/core/place"
	"kumquathinge/core/site"
)

const (
	// StepInterval is the interval between two steps of the orderer.
	StepInterval = 50 * time.Millisecond
	// ServiceName is the name of the service of all servers.
	ServiceName = "engines"
	// entryTimeout is the time after which the entry of a stopped server is
	// removed.
	entryTimeout = 3600 * time.Millisecond
	// detectionTime is the time after which the orderer finds a server lost.
	detectionTime = 800 * time.Millisecond
	// StallTimeout is the time after which a head breaks that stands still.
	StallTimeout = 5 * time.Second
	// preTrafficSpeed is the factor by which joins load faster before traffic
	// starts.
	preTrafficSpeed = 10
)

// Start is the time at which the clock of a Cluster starts.
var Start = time.Unix(1000, 0)

// Config describes the deployment of a Cluster.
type Config struct {
	Models []site.Model
	// Slots is the batch size of a group.
	Slots int
	// LoadsPerSec is the rate limit of loads, MaxConcurrentLoads the number of
	// loads beyond which they slow each other down.
	LoadsPerSec        float64
	MaxConcurrentLoads int
	Seed               uint64
}

// Cluster is an emulated deployment. It is not safe for concurrent use.
type Cluster struct {
	cfg           Config
	now           time.Time
	rnd           *rand.Rand
	table         *site.Table
	engines       map[string]*Engine
	delayedOrders []delayedOrder
	loadStarts    []time.Time
	violations    []string
	startCount    int64
	orderCount    int
	// orderLossRate is the fraction of orders that get no response and are
	// carried out seconds later.
	orderLossRate float64
	// viewLag is the age of the entries that the orderer sees.
	viewLag time.Duration
	views   []snapshot
	// beforeTraffic, utilisation and demand are passed on to the orderer.
	beforeTraffic bool
	utilisation   map[string]float64
	demand        map[string]site.ModelDemand
	// partitioned contains the domains cut off from the orderer and the store.
	// hiddenUntil maps a server to the time until which its entry is hidden.
	partitioned map[string]bool
	hiddenUntil map[string]time.Time
	// isolatedSince maps a server to the time since which it alone is cut off.
	isolatedSince map[string]time.Time
	// entryExpiry maps a server that is cut off to the time at which its entry
	// expires.
	entryExpiry map[string]time.Time
	// unreachable contains the servers that the orderer can't reach although they reach
	// the store.
	unreachable map[string]bool
	// zoneOfDomain maps domains to their zones, defaultZone if absent. evacuatedSince and
	// returnedAt map zones to the begin and to the last end of their evacuations.
	zoneOfDomain               map[string]string
	evacuatedSince, returnedAt map[string]time.Time
	// cuts describes the orders that cut requests which may not be resumed.
	cuts []string
}

// delayedOrder is an order that is carried out after a delay.
type delayedOrder struct {
	order site.Order
	at    time.Time
}

type snapshot struct {
	at      time.Time
	servers map[string]*site.Server
}

// New returns a Cluster without servers.
func New(cfg Config) *Cluster {
	table := site.NewTable(&site.Config{Version: 1, Services: []site.Service{{
		Name:   ServiceName,
		Engine: &site.Engine{Slots: cfg.Slots, LoadsPerSec: cfg.LoadsPerSec, MaxConcurrentLoads: cfg.MaxConcurrentLoads, Models: cfg.Models},
	}}})
	return &Cluster{
		cfg: cfg, now: Start, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), table: table, engines: map[string]*Engine{}, partitioned: map[string]bool{},
		hiddenUntil: map[string]time.Time{}, entryExpiry: map[string]time.Time{}, isolatedSince: map[string]time.Time{}, unreachable: map[string]bool{},
		zoneOfDomain: map[string]string{}, evacuatedSince: map[string]time.Time{}, returnedAt: map[string]time.Time{},
	}
}

// Now returns the simulated time.
func (cl *Cluster) Now() time.Time { return cl.now }

// Rand returns the source of random numbers.
func (cl *Cluster) Rand() *rand.Rand { return cl.rnd }

// SetBeforeTraffic sets whether no requests have arrived yet.
func (cl *Cluster) SetBeforeTraffic(before bool) { cl.beforeTraffic = before }

// SetUtilisation sets the utilisation of the models, nil if unknown. A model
// without a serving group counts as full.
func (cl *Cluster) SetUtilisation(byModel map[string]float64) { cl.utilisation = byModel }

// SetDemand sets the demand of the models, nil if unknown.
func (cl *Cluster) SetDemand(byModel map[string]site.ModelDemand) { cl.demand = byModel }

// SetOrderLoss sets the fraction of orders that get no response and are carried
// out seconds later.
func (cl *Cluster) SetOrderLoss(rate float64) { cl.orderLossRate = rate }

// SetViewLag sets the age of the entries that the orderer sees.
func (cl *Cluster) SetViewLag(lag time.Duration) { cl.viewLag = lag }

// Violations returns the orders that violated an invariant.
func (cl *Cluster) Violations() []string { return cl.violations }

// LoadCount returns the number of loads from the weight store.
func (cl *Cluster) LoadCount() int { return len(cl.loadStarts) }

// AddServers starts empty servers in a domain and returns their IDs.
func (cl *Cluster) AddServers(domain string, num int) []string {
	var ids []string
	for range num {
		cl.startCount++
		eng := &Engine{running: true, wasReady: map[string]bool{}, slow: 1}
		eng.server = site.Server{
			ID: fmt.Sprintf("%s-%d", domain, cl.startCount), Service: ServiceName, Addr: "x", Zone: cmp.Or(cl.zoneOfDomain[domain], defaultZone), Slots: cl.cfg.Slots, Domain: domain, StartMillis: cl.startCount,
		}
		cl.engines[eng.server.ID] = eng
		ids = append(ids, eng.server.ID)
	}
	return ids
}

// defaultZone is the zone of domains for which none is set.
const defaultZone = "z"

// SetZone sets the zone of the servers that are started in a domain from now on.
func (cl *Cluster) SetZone(domain, zone string) { cl.zoneOfDomain[domain] = zone }

// Evacuate takes a zone out of service.
func (cl *Cluster) Evacuate(zone string) { cl.evacuatedSince[zone] = cl.now }

// Return takes a zone back into service.
func (cl *Cluster) Return(zone string) {
	delete(cl.evacuatedSince, zone)
	cl.returnedAt[zone] = cl.now
}

// IDs returns the IDs of all servers that were ever started, sorted.
func (cl *Cluster) IDs() []string { return slices.Sorted(maps.Keys(cl.engines)) }

// Engine returns the server with the ID, or nil.
func (cl *Cluster) Engine(id string) *Engine { return cl.engines[id] }

// Kill stops a server for good.
func (cl *Cluster) Kill(id string) {
	cl.engines[id].running = false
	cl.engines[id].stoppedAt = cl.now
}

// Darken stops a server for good with its host, so that nothing responds at its address.
func (cl *Cluster) Darken(id string) {
	cl.Kill(id)
	cl.engines[id].dark = true
}

// Restart stops a server and starts another one on its host, where the models
// are still staged. It returns the ID of the new server.
func (cl *Cluster) Restart(id string) string {
	eng := cl.engines[id]
	cl.Kill(id)
	next := cl.AddServers(eng.server.Domain, 1)[0]
	cl.engines[next].server.StagedModels = slices.Clone(eng.server.StagedModels)
	return next
}

// Reborn restarts a server under its ID. It has lost its group.
func (cl *Cluster) Reborn(id string) {
	eng := cl.engines[id]
	cl.startCount++
	eng.leave()
	eng.server.StartMillis, eng.highestTerm, eng.highestEpoch, eng.lastModel, eng.pinned = cl.startCount, 0, 0, "", nil
}

// Drain lets a server announce that it is about to stop.
func (cl *Cluster) Drain(id string) { cl.engines[id].server.Draining = true }

// Slow sets the factor by which a server is slower than usual.
func (cl *Cluster) Slow(id string, factor float64) { cl.engines[id].slow = factor }

// HideUntil hides the entry of a server until the time.
func (cl *Cluster) HideUntil(id string, until time.Time) { cl.hiddenUntil[id] = until }

// Partition cuts a domain off from the orderer and the store. Its entries
// expire one by one.
func (cl *Cluster) Partition(domain string) {
	cl.partitioned[domain] = true
	for _, id := range cl.IDs() {
		if cl.engines[id].server.Domain == domain {
			cl.entryExpiry[id] = cl.now.Add(2400*time.Millisecond + time.Duration(cl.rnd.Int64N(int64(1200*time.Millisecond))))
		}
	}
}

// Partitioned reports whether a domain is cut off.
func (cl *Cluster) Partitioned(domain string) bool { return cl.partitioned[domain] }

// Heal ends the partition of a domain. Its entries return within two seconds.
func (cl *Cluster) Heal(domain string) {
	delete(cl.partitioned, domain)
	for _, id := range cl.IDs() {
		if cl.engines[id].server.Domain == domain {
			cl.hiddenUntil[id] = cl.now.Add(time.Duration(cl.rnd.Int64N(int64(2 * time.Second))))
		}
	}
}

// Isolate cuts a single server off.
func (cl *Cluster) Isolate(id string) {
	cl.isolatedSince[id] = cl.now
	cl.entryExpiry[id] = cl.now.Add(3 * time.Second)
}

// Reconnect ends the isolation of a server.
func (cl *Cluster) Reconnect(id string) { delete(cl.isolatedSince, id) }

// Unreach cuts a server off from the orderer, but not from the store.
func (cl *Cluster) Unreach(id string) { cl.unreachable[id] = true }

// Reach ends the effect of Unreach.
func (cl *Cluster) Reach(id string) { delete(cl.unreachable, id) }

// Pin starts a request at a head that may not be resumed and lasts for the time.
func (cl *Cluster) Pin(id string, length time.Duration) {
	eng := cl.engines[id]
	eng.pinned = append(eng.pinned, cl.now.Add(length))
}

// Cuts returns the orders that cut requests which may not be resumed.
func (cl *Cluster) Cuts() []string { return cl.cuts }

// IsolatedFor returns for how long a server has been cut off alone, zero if it
// is not.
func (cl *Cluster) IsolatedFor(id string) time.Duration {
	if since, ok := cl.isolatedSince[id]; ok {
		return max(cl.now.Sub(since), 1)
	}
	return 0
}

// advance moves the clock by one interval and updates all servers.
func (cl *Cluster) advance() {
	cl.now = cl.now.Add(StepInterval)
	var due []delayedOrder
	cl.delayedOrders = slices.DeleteFunc(cl.delayedOrders, func(delayed delayedOrder) bool {
		if cl.now.Before(delayed.at) {
			return false
		}
		due = append(due, delayed)
		return true
	})
	for _, delayed := range due {
		cl.Execute(delayed.order)
	}
	share := 1.0
	if num := cl.activeLoads(); cl.cfg.MaxConcurrentLoads > 0 && num > cl.cfg.MaxConcurrentLoads {
		share = float64(cl.cfg.MaxConcurrentLoads) / float64(num)
	}
	for _, eng := range cl.engines {
		eng.advance(cl.now, StepInterval, share)
		cl.stall(eng)
	}
	cl.captureView()
}

// stall breaks a head that has stood still for StallTimeout: one that serves, or is about
// to, without all of its members.
func (cl *Cluster) stall(eng *Engine) {
	switch {
	case !eng.running || !eng.mayServe() || cl.complete(eng):
		eng.stalledSince = time.Time{}
	case eng.stalledSince.IsZero():
		eng.stalledSince = cl.now
	case cl.now.Sub(eng.stalledSince) >= StallTimeout:
		eng.server.Group.State, eng.openAt, eng.pinned = site.GroupBroken, time.Time{}, nil
	}
}

// activeLoads returns the number of loads that share the weight store.
func (cl *Cluster) activeLoads() int {
	num := 0
	for _, eng := range cl.engines {
		if !eng.running {
			continue
		}
		if eng.joinLoad != nil && !eng.joinLoad.fast {
			num++
		}
	}
	return num
}

// captureView records the current entries.
func (cl *Cluster) captureView() {
	snap := snapshot{at: cl.now, servers: map[string]*site.Server{}}
	for id, eng := range cl.engines {
		gone := !eng.running && cl.now.Sub(eng.stoppedAt) > entryTimeout
		_, isolated := cl.isolatedSince[id]
		expired := (isolated || cl.partitioned[eng.server.Domain]) && cl.now.After(cl.entryExpiry[id])
		if !gone && !expired && !cl.now.Before(cl.hiddenUntil[id]) {
			snap.servers[id] = eng.entry()
		}
	}
	cl.views = append(cl.views, snap)
	if len(cl.views) > 2*int(cl.viewLag/StepInterval)+2 {
		cl.views = cl.views[1:]
	}
}

// Input returns what the orderer sees.
func (cl *Cluster) Input() place.Input {
	pos := len(cl.views) - 1
	for pos > 0 && cl.now.Sub(cl.views[pos].at) < cl.viewLag {
		pos--
	}
	return place.Input{
		Now: cl.now, View: site.NewViewWithout(site.NewEvacuations(maps.Clone(cl.evacuatedSince), maps.Clone(cl.returnedAt)), cl.views[pos].servers, cl.table), Table: cl.table, BeforeTraffic: cl.beforeTraffic, Utilisation: cl.currentUtilisation(), Demand: cl.demand,
		Unreachable: func(id string) bool {
			eng := cl.engines[id]
			since, isolated := cl.isolatedSince[id]
			return !eng.running && cl.now.Sub(eng.stoppedAt) > detectionTime || isolated && cl.now.Sub(since) > detectionTime || cl.unreachable[id]
		},
		StallTimeout: StallTimeout,
		Ended: func(id string) bool {
			eng := cl.engines[id]
			return !eng.running && !eng.dark && cl.reaches(eng) && cl.now.Sub(eng.stoppedAt) > detectionTime
		},
		Pinned: func(id string) int { return len(cl.engines[id].pinned) },
		Active: func(id string) bool {
			eng := cl.engines[id]
			return eng != nil && eng.running && cl.reaches(eng) && cl.complete(eng)
		},
		Slow: func(id string) bool { return cl.engines[id].slow > 1 },
	}
}

func (cl *Cluster) currentUtilisation() map[string]float64 {
	out := maps.Clone(cl.utilisation)
	for model := range out {
		if len(cl.ServingHeads(model)) == 0 {
			out[model] = 1
		}
	}
	return out
}

// head returns the actual head of a server's group, nil if it has left or
// stopped.
func (cl *Cluster) head(eng *Engine) *Engine {
	if len(eng.members) == 0 {
		return nil
	}
	head := cl.engines[eng.members[0]]
	if head == nil || !head.running || head.server.Group.Name != eng.server.Group.Name || head.server.Group.Epoch != eng.server.Group.Epoch {
		return nil
	}
	return head
}

// reaches reports whether orders reach a server.
func (cl *Cluster) reaches(eng *Engine) bool {
	_, isolated := cl.isolatedSince[eng.ID()]
	return !isolated && !cl.partitioned[eng.server.Domain] && !cl.unreachable[eng.ID()]
}

// Execute carries out an order and returns the result.
func (cl *Cluster) Execute(ord site.Order) site.OrderResult {
	eng := cl.engines[ord.Server]
	switch {
	case eng == nil || !eng.running || !cl.reaches(eng):
		return site.OrderUnknown
	case ord.FencingToken < eng.highestTerm:
		return site.OrderFenced
	}
	eng.highestTerm = ord.FencingToken
	cl.orderCount++
	grp := eng.server.Group
	same := grp.State != site.GroupNone && grp.Name == ord.Group && grp.Epoch == ord.Epoch
	switch ord.Kind {
	case site.OrderJoin:
		return cl.join(eng, ord)
	case site.OrderOpen:
		return cl.open(eng, same)
	case site.OrderClose:
		if !same || grp.State != site.GroupOpen {
			return site.OrderConflict
		}
		eng.close()
	case site.OrderLeave:
		if !same {
			return site.OrderConflict
		}
		cl.cut(eng, ord)
		eng.leave()
	}
	return site.OrderDone
}

func (cl *Cluster) recordLoad() {
	if !cl.beforeTraffic {
		cl.loadStarts = append(cl.loadStarts, cl.now)
	}
}

func (cl *Cluster) join(eng *Engine, ord site.Order) site.OrderResult {
	if ord.Epoch < eng.highestEpoch || ord.Epoch == eng.highestEpoch && !slices.Equal(ord.Members, eng.members) {
		return site.OrderFenced
	}
	if ord.Epoch == eng.highestEpoch {
		return site.OrderDone
	}
	if head := cl.head(eng); head != nil && head.mayServe() {
		cl.recordViolation("%s joins %s/%d while its group %s is %v at head %s", eng.ID(), ord.Group, ord.Epoch, eng.groupKey(), head.server.Group.State, head.ID())
	}
	cl.cut(eng, ord)
	cl.beginJoin(eng, cl.table.Model(ord.Model))
	eng.highestEpoch = ord.Epoch
	eng.members = ord.Members
	eng.server.Model = ""
	eng.openAt = time.Time{}
	eng.server.Group = site.Membership{Name: ord.Group, Epoch: ord.Epoch, Rank: slices.Index(ord.Members, eng.ID()), State: site.GroupJoining}
	return site.OrderAccepted
}

// cut ends the requests of the group that a server leaves.
func (cl *Cluster) cut(eng *Engine, ord site.Order) {
	if head := cl.head(eng); head != nil && len(head.pinned) > 0 {
		cl.cuts = append(cl.cuts, fmt.Sprintf("%v: order %v %s to %s cuts %d requests of %s", cl.now.Sub(Start), ord.Kind, ord.Group, eng.ID(), len(head.pinned), head.groupKey()))
		head.pinned = nil
	}
}

// beginJoin sets the duration of a join. A load of an earlier join is lost.
func (cl *Cluster) beginJoin(eng *Engine, model *site.Model) {
	warm := eng.lastModel == model.Name && eng.joinLoad == nil
	eng.joinLoad = nil
	eng.joinLeft = model.WarmLoadTime
	switch {
	case warm:
		eng.joinLeft = sameModelJoinTime
	case eng.server.HasStaged(model.Name):
	default:
		job := &loadJob{model: model.Name, left: model.LoadTime, fast: cl.beforeTraffic}
		if job.fast {
			job.left /= preTrafficSpeed
		}
		eng.joinLoad, eng.joinLeft = job, 0
		cl.recordLoad()
	}
	eng.lastModel = model.Name
}

func (cl *Cluster) open(eng *Engine, same bool) site.OrderResult {
	if !same || eng.server.Group.State != site.GroupReady {
		return site.OrderConflict
	}
	for _, id := range eng.members {
		member := cl.engines[id]
		if member == nil || !member.wasReady[eng.groupKey()] {
			cl.recordViolation("%s opens in epoch %d although member %s has not been ready", eng.server.Group.Name, eng.server.Group.Epoch, id)
		}
	}
	if len(eng.members) != cl.table.Model(eng.server.Model).GroupSize {
		cl.recordViolation("%s opens with %d members", eng.server.Group.Name, len(eng.members))
	}
	eng.openAt = cl.now.Add(openTime)
	return site.OrderAccepted
}

func (cl *Cluster) recordViolation(msg string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf("%v: ", cl.now.Sub(Start))+fmt.Sprintf(msg, args...))
}

// Step advances the clock and runs one step of the orderer.
func (cl *Cluster) Step(pl *place.Planner) {
	cl.advance()
	for _, ord := range pl.Step(cl.Input()) {
		if eng := cl.engines[ord.Server]; eng != nil && !cl.evacuatedSince[eng.server.Zone].IsZero() {
			cl.recordViolation("order %v to %s of the evacuated zone %s", ord.Kind, ord.Server, eng.server.Zone)
		}
		if cl.rnd.Float64() < cl.orderLossRate {
			cl.delayedOrders = append(cl.delayedOrders, delayedOrder{order: ord, at: cl.now.Add(2*time.Second + time.Duration(cl.rnd.Int64N(int64(4*time.Second))))})
			pl.HandleResult(ord, site.OrderUnknown, cl.now)
			continue
		}
		pl.HandleResult(ord, cl.Execute(ord), cl.now)
	}
}

// Run steps the orderer for the given duration.
func (cl *Cluster) Run(pl *place.Planner, dur time.Duration) {
	for end := cl.now.Add(dur); cl.now.Before(end); {
		cl.Step(pl)
	}
}

// ServingHeads returns the heads of a model's open groups whose members are all
// running and in the group, in the order of their starts.
func (cl *Cluster) ServingHeads(model string) []*Engine {
	var out []*Engine
	for _, eng := range cl.engines {
		if eng.running && eng.server.Group.State == site.GroupOpen && eng.server.Model == model && cl.complete(eng) {
			out = append(out, eng)
		}
	}
	slices.SortFunc(out, func(one, two *Engine) int { return int(one.server.StartMillis - two.server.StartMillis) })
	return out
}

// complete reports whether all members of a head's group run and belong to it.
func (cl *Cluster) complete(head *Engine) bool {
	for _, id := range head.members {
		member := cl.engines[id]
		if !member.running || member.server.Group.Name != head.server.Group.Name || member.server.Group.Epoch != head.server.Group.Epoch {
			return false
		}
	}
	return true
}

// MaxLoadsPerWindow returns the maximum number of loads that started within the
// window.
func (cl *Cluster) MaxLoadsPerWindow(window time.Duration) int {
	most := 0
	for idx, first := range cl.loadStarts {
		num := 0
		for _, other := range cl.loadStarts[idx:] {
			if other.Sub(first) < window {
				num++
			}
		}
		most = max(most, num)
	}
	return most
}
