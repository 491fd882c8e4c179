package place_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquathinge/core/place"
	"kumquathinge/core/site"
)

// Models and times of the fake cluster.
const (
	large = "large"
	small = "small"

	// sameModelJoinTime is the duration of a join to the model of the last
	// group.
	sameModelJoinTime = 200 * time.Millisecond
	openTime          = 300 * time.Millisecond
	// stepInterval is the interval between two steps of the orderer.
	stepInterval = 50 * time.Millisecond
)

var (
	largeModel = site.Model{Name: large, GroupSize: 6, InitialShare: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond}
	smallModel = site.Model{Name: small, GroupSize: 3, InitialShare: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond}
)

func newTable(models ...site.Model) *site.Table {
	return site.NewTable(&site.Config{Version: 1, Services: []site.Service{{
		Name: "engines", Engine: &site.Engine{Slots: 26, LoadsPerSec: 5.5, MaxConcurrentLoads: 8, Models: models},
	}}})
}

// fakeEngine is a fake model server. The orders to it are checked.
type fakeEngine struct {
	site.Server
	running      bool
	highestTerm  int64
	highestEpoch int64
	lastModel    string
	members      []string
	// readyAt and openAt are when a join and an opening complete.
	readyAt, openAt time.Time
	// wasReady contains the groupKey of each group in which the server has been
	// ready.
	wasReady      map[string]bool
	stagingDoneAt map[string]time.Time
	stoppedAt     time.Time
}

// delayedOrder is an order that is carried out after a delay.
type delayedOrder struct {
	order site.Order
	at    time.Time
}

// fakeCluster is a fake deployment. It carries out orders as servers do and
// records orders that violate an invariant.
type fakeCluster struct {
	now           time.Time
	rnd           *rand.Rand
	table         *site.Table
	engines       map[string]*fakeEngine
	delayedOrders []delayedOrder
	loadStarts    []time.Time
	violations    []string
	startCount    int64
	// answerLossRate is the fraction of orders that get no response and are
	// carried out seconds later.
	answerLossRate float64
	// viewLag is the age of the entries that the orderer sees.
	viewLag time.Duration
	views   []snapshot
	// beforeTraffic and utilisation are passed on to the orderer.
	beforeTraffic bool
	utilisation   map[string]float64
	// partitioned contains the domains cut off from the orderer and the store.
	// hiddenUntil maps a server to the time until which its entry is hidden.
	partitioned map[string]bool
	hiddenUntil map[string]time.Time
	// isolatedSince maps a server to the time since which it alone is cut off.
	isolatedSince map[string]time.Time
	// entryExpiry maps a server that is cut off to the time at which its entry
	// expires.
	entryExpiry map[string]time.Time
}

type snapshot struct {
	at      time.Time
	servers map[string]*site.Server
}

func newFakeCluster(seed uint64) *fakeCluster {
	return &fakeCluster{
		now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), table: newTable(largeModel, smallModel), engines: map[string]*fakeEngine{}, partitioned: map[string]bool{}, hiddenUntil: map[string]time.Time{}, entryExpiry: map[string]time.Time{}, isolatedSince: map[string]time.Time{},
	}
}

func (fc *fakeCluster) addServers(domain string, num int) {
	for range num {
		fc.startCount++
		eng := &fakeEngine{running: true, wasReady: map[string]bool{}, stagingDoneAt: map[string]time.Time{}}
		eng.Server = site.Server{
			ID: fmt.Sprintf("%s-%d", domain, fc.startCount), Service: "engines", Addr: "x", Zone: "z", Slots: 26, Domain: domain, StartMillis: fc.startCount,
		}
		fc.engines[eng.ID] = eng
	}
}

func (fc *fakeCluster) recordViolation(msg string, args ...any) {
	fc.violations = append(fc.violations, fmt.Sprintf("%v: ", fc.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(msg, args...))
}

// advance moves the clock by one interval and updates all servers.
func (fc *fakeCluster) advance() {
	fc.now = fc.now.Add(stepInterval)
	var due []delayedOrder
	fc.delayedOrders = slices.DeleteFunc(fc.delayedOrders, func(delayed delayedOrder) bool {
		if fc.now.Before(delayed.at) {
			return false
		}
		due = append(due, delayed)
		return true
	})
	for _, delayed := range due {
		fc.execute(delayed.order)
	}
	for _, eng := range fc.engines {
		eng.advance(fc.now)
	}
	fc.captureView()
}

func (eng *fakeEngine) advance(now time.Time) {
	if eng.Group.State == site.GroupJoining && !now.Before(eng.readyAt) {
		eng.Group.State = site.GroupReady
		eng.lastModel = eng.Model
		eng.StagedModels = []string{eng.Model}
		eng.wasReady[eng.groupKey()] = true
	}
	if eng.Group.State == site.GroupReady && !eng.openAt.IsZero() && !now.Before(eng.openAt) {
		eng.Group.State = site.GroupOpen
		eng.openAt = time.Time{}
	}
	for model, at := range eng.stagingDoneAt {
		if !now.Before(at) {
			eng.StagedModels = []string{model}
			delete(eng.stagingDoneAt, model)
		}
	}
}

func (eng *fakeEngine) groupKey() string {
	return fmt.Sprint(eng.Group.Name, "/", eng.Group.Epoch, "/", eng.members)
}

// captureView records the current entries.
func (fc *fakeCluster) captureView() {
	snap := snapshot{at: fc.now, servers: map[string]*site.Server{}}
	for id, eng := range fc.engines {
		gone := !eng.running && fc.now.Sub(eng.stoppedAt) > 3600*time.Millisecond
		_, isolated := fc.isolatedSince[id]
		expired := (isolated || fc.partitioned[eng.Domain]) && fc.now.After(fc.entryExpiry[id])
		if !gone && !expired && !fc.now.Before(fc.hiddenUntil[id]) {
			srv := eng.Server
			srv.StagedModels = slices.Clone(eng.StagedModels)
			snap.servers[id] = &srv
		}
	}
	fc.views = append(fc.views, snap)
}

// input returns what the orderer sees.
func (fc *fakeCluster) input() place.Input {
	pos := len(fc.views) - 1
	for pos > 0 && fc.now.Sub(fc.views[pos].at) < fc.viewLag {
		pos--
	}
	return place.Input{
		Now: fc.now, View: site.NewView(fc.views[pos].servers, fc.table), Table: fc.table, BeforeTraffic: fc.beforeTraffic, Utilisation: fc.currentUtilisation(),
		Unreachable: func(id string) bool {
			eng := fc.engines[id]
			since, isolated := fc.isolatedSince[id]
			return !eng.running && fc.now.Sub(eng.stoppedAt) > 800*time.Millisecond || isolated && fc.now.Sub(since) > 800*time.Millisecond
		},
	}
}

// currentUtilisation returns the utilisation of the models, nil if unknown. A
// model without a group counts as full.
func (fc *fakeCluster) currentUtilisation() map[string]float64 {
	out := maps.Clone(fc.utilisation)
	for model := range out {
		if len(fc.servingHeads(model)) == 0 {
			out[model] = 1
		}
	}
	return out
}

// partition cuts a domain off. Its entries expire one by one.
func (fc *fakeCluster) partition(domain string) {
	fc.partitioned[domain] = true
	for _, id := range fc.ids() {
		if fc.engines[id].Domain == domain {
			fc.entryExpiry[id] = fc.now.Add(2400*time.Millisecond + time.Duration(fc.rnd.Int64N(int64(1200*time.Millisecond))))
		}
	}
}

// isolate cuts a single server off.
func (fc *fakeCluster) isolate(id string) {
	fc.isolatedSince[id] = fc.now
	fc.entryExpiry[id] = fc.now.Add(3 * time.Second)
}

func (fc *fakeCluster) ids() []string { return slices.Sorted(maps.Keys(fc.engines)) }

// heal ends the partition of a domain. Its entries return within two seconds.
func (fc *fakeCluster) heal(domain string) {
	delete(fc.partitioned, domain)
	for _, id := range fc.ids() {
		if fc.engines[id].Domain == domain {
			fc.hiddenUntil[id] = fc.now.Add(time.Duration(fc.rnd.Int64N(int64(2 * time.Second))))
		}
	}
}

// head returns the actual head of a server's group, nil if it has left or
// stopped.
func (fc *fakeCluster) head(eng *fakeEngine) *fakeEngine {
	if len(eng.members) == 0 {
		return nil
	}
	head := fc.engines[eng.members[0]]
	if head == nil || !head.running || head.Group.Name != eng.Group.Name || head.Group.Epoch != eng.Group.Epoch {
		return nil
	}
	return head
}

// execute carries out an order and returns the result.
func (fc *fakeCluster) execute(ord site.Order) site.OrderResult {
	eng := fc.engines[ord.Server]
	_, isolated := fc.isolatedSince[ord.Server]
	switch {
	case eng == nil || !eng.running || isolated || fc.partitioned[eng.Domain]:
		return site.OrderUnknown
	case ord.FencingToken < eng.highestTerm:
		return site.OrderFenced
	}
	eng.highestTerm = ord.FencingToken
	same := eng.Group.State != site.GroupNone && eng.Group.Name == ord.Group && eng.Group.Epoch == ord.Epoch
	switch ord.Kind {
	case site.OrderJoin:
		return fc.join(eng, ord)
	case site.OrderOpen:
		return fc.open(eng, same)
	case site.OrderClose:
		if !same || eng.Group.State != site.GroupOpen {
			return site.OrderConflict
		}
		eng.Group.State = site.GroupReady
	case site.OrderLeave:
		if !same {
			return site.OrderConflict
		}
		eng.Group, eng.Model, eng.members, eng.openAt = site.Membership{}, "", nil, time.Time{}
	case site.OrderStage:
		model := fc.table.Model(ord.Model)
		eng.stagingDoneAt[model.Name] = fc.now.Add(model.LoadTime)
		fc.recordLoad()
		return site.OrderAccepted
	}
	return site.OrderDone
}

func (fc *fakeCluster) recordLoad() { fc.loadStarts = append(fc.loadStarts, fc.now) }

func (fc *fakeCluster) join(eng *fakeEngine, ord site.Order) site.OrderResult {
	if ord.Epoch < eng.highestEpoch || ord.Epoch == eng.highestEpoch && !slices.Equal(ord.Members, eng.members) {
		return site.OrderFenced
	}
	if ord.Epoch == eng.highestEpoch {
		return site.OrderDone
	}
	if head := fc.head(eng); head != nil && eng.Group.Name != ord.Group {
		if head.Group.State == site.GroupOpen || head.Group.State == site.GroupClosing || !head.openAt.IsZero() {
			fc.recordViolation("%s joins %s while its group %s is open at head %s", eng.ID, ord.Group, eng.Group.Name, head.ID)
		}
	}
	model := fc.table.Model(ord.Model)
	joinTime := model.LoadTime
	switch {
	case eng.lastModel == model.Name:
		joinTime = sameModelJoinTime
	case eng.HasStaged(model.Name):
		joinTime = model.WarmLoadTime
	case eng.stagingDoneAt[model.Name].After(fc.now):
		joinTime = eng.stagingDoneAt[model.Name].Sub(fc.now) + model.WarmLoadTime
	default:
		fc.recordLoad()
	}
	eng.highestEpoch = ord.Epoch
	eng.members = ord.Members
	eng.Model = ord.Model
	eng.openAt = time.Time{}
	eng.Group = site.Membership{Name: ord.Group, Epoch: ord.Epoch, Rank: slices.Index(ord.Members, eng.ID), State: site.GroupJoining}
	eng.readyAt = fc.now.Add(joinTime)
	return site.OrderAccepted
}

func (fc *fakeCluster) open(eng *fakeEngine, same bool) site.OrderResult {
	if !same || eng.Group.State != site.GroupReady {
		return site.OrderConflict
	}
	for _, id := range eng.members {
		member := fc.engines[id]
		if member == nil || !member.wasReady[eng.groupKey()] {
			fc.recordViolation("%s opens in epoch %d although member %s has not been ready", eng.Group.Name, eng.Group.Epoch, id)
		}
	}
	if len(eng.members) != fc.table.Model(eng.Model).GroupSize {
		fc.recordViolation("%s opens with %d members", eng.Group.Name, len(eng.members))
	}
	eng.openAt = fc.now.Add(openTime)
	return site.OrderAccepted
}

// step advances the clock and runs one step of the orderer.
func (fc *fakeCluster) step(pl *place.Planner) {
	fc.advance()
	for _, ord := range pl.Step(fc.input()) {
		if fc.rnd.Float64() < fc.answerLossRate {
			fc.delayedOrders = append(fc.delayedOrders, delayedOrder{order: ord, at: fc.now.Add(2*time.Second + time.Duration(fc.rnd.Int64N(int64(4*time.Second))))})
			pl.HandleResult(ord, site.OrderUnknown, fc.now)
			continue
		}
		pl.HandleResult(ord, fc.execute(ord), fc.now)
	}
}

// run steps the orderer for the given duration.
func (fc *fakeCluster) run(pl *place.Planner, dur time.Duration) {
	for end := fc.now.Add(dur); fc.now.Before(end); {
		fc.step(pl)
	}
}

func (fc *fakeCluster) kill(id string) {
	fc.engines[id].running = false
	fc.engines[id].stoppedAt = fc.now
}

// servingHeads returns the heads of a model's open groups whose members are all
// running and in the group.
func (fc *fakeCluster) servingHeads(model string) []*fakeEngine {
	var out []*fakeEngine
	for _, eng := range fc.engines {
		if !eng.running || eng.Group.State != site.GroupOpen || eng.Model != model {
			continue
		}
		healthy := true
		for _, id := range eng.members {
			member := fc.engines[id]
			healthy = healthy && member.running && member.Group.Name == eng.Group.Name && member.Group.Epoch == eng.Group.Epoch
		}
		if healthy {
			out = append(out, eng)
		}
	}
	slices.SortFunc(out, func(one, two *fakeEngine) int { return int(one.StartMillis - two.StartMillis) })
	return out
}

// checkViolations fails the test if an order violated an invariant.
func (fc *fakeCluster) checkViolations(t *testing.T) {
	t.Helper()
	for _, msg := range fc.violations {
		t.Error(msg)
	}
}

// maxLoadsPerWindow returns the maximum number of loads started within five
// seconds.
func (fc *fakeCluster) maxLoadsPerWindow() int {
	most := 0
	for idx, first := range fc.loadStarts {
		num := 0
		for _, other := range fc.loadStarts[idx:] {
			if other.Sub(first) < 5*time.Second {
				num++
			}
		}
		most = max(most, num)
	}
	return most
}
