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

// Models and times of the fake deployment.
const (
	large = "large"
	small = "small"

	// joinSame is the time of a join to the model of the last group.
	joinSame = 200 * time.Millisecond
	openTime = 300 * time.Millisecond
	// tick is the pause between two looks of the orderer.
	tick = 50 * time.Millisecond
)

var (
	modLarge = site.Model{Name: large, GroupSize: 6, InitialShare: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond}
	modSmall = site.Model{Name: small, GroupSize: 3, InitialShare: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond}
)

func newTable(models ...site.Model) *site.Table {
	return site.NewTable(&site.Config{Version: 1, Services: []site.Service{{
		Name: "engines", Engine: &site.Engine{Slots: 26, LoadsPerSec: 5.5, MaxConcurrentLoads: 8, Models: models},
	}}})
}

// engine is a fake model server that checks what it is ordered.
type engine struct {
	site.Server
	alive   bool
	fence   int64
	epoch   int64
	last    string
	members []string
	// readyAt and openAt are the ends of a join and of an opening.
	readyAt, openAt time.Time
	// ready holds the groups in which the server has been ready.
	ready  map[string]bool
	stages map[string]time.Time
	// gone is the time of death.
	gone time.Time
}

// late is an order that is carried out later than it was sent.
type late struct {
	ord site.Order
	at  time.Time
}

// world is a fake deployment. It carries out orders as servers do and notes
// what servers would have to refuse.
type world struct {
	now     time.Time
	rnd     *rand.Rand
	tab     *site.Table
	engines map[string]*engine
	lates   []late
	loads   []time.Time
	broken  []string
	born    int64
	// loseAnswers is the share of orders that get no answer and are carried out
	// seconds later.
	loseAnswers float64
	// lag is the age of the entries that the orderer sees.
	lag   time.Duration
	views []snapshot
	// calm tells that traffic has not started, used is the load of models.
	calm bool
	used map[string]float64
	// cut hides the servers of a domain from the orderer, hidden the entries of
	// single ones until a time.
	cut    map[string]bool
	hidden map[string]time.Time
	// away are single servers that are cut off, since a time.
	away map[string]time.Time
	// lapse is the time at which the entry of a server that is cut off goes.
	lapse map[string]time.Time
}

type snapshot struct {
	at      time.Time
	servers map[string]*site.Server
}

func newWorld(seed uint64) *world {
	return &world{
		now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), tab: newTable(modLarge, modSmall), engines: map[string]*engine{}, cut: map[string]bool{}, hidden: map[string]time.Time{}, lapse: map[string]time.Time{}, away: map[string]time.Time{},
	}
}

func (wor *world) add(domain string, num int) {
	for range num {
		wor.born++
		eng := &engine{alive: true, ready: map[string]bool{}, stages: map[string]time.Time{}}
		eng.Server = site.Server{
			ID: fmt.Sprintf("%s-%d", domain, wor.born), Service: "engines", Addr: "x", Zone: "z", Slots: 26, Domain: domain, StartMillis: wor.born,
		}
		wor.engines[eng.ID] = eng
	}
}

func (wor *world) fail(txt string, args ...any) {
	wor.broken = append(wor.broken, fmt.Sprintf("%v: ", wor.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(txt, args...))
}

// advance lets time pass at all servers.
func (wor *world) advance() {
	wor.now = wor.now.Add(tick)
	var due []late
	wor.lates = slices.DeleteFunc(wor.lates, func(lat late) bool {
		if wor.now.Before(lat.at) {
			return false
		}
		due = append(due, lat)
		return true
	})
	for _, lat := range due {
		wor.order(lat.ord)
	}
	for _, eng := range wor.engines {
		eng.advance(wor.now)
	}
	wor.observe()
}

func (eng *engine) advance(now time.Time) {
	if eng.Group.State == site.GroupJoining && !now.Before(eng.readyAt) {
		eng.Group.State = site.GroupReady
		eng.last = eng.Model
		eng.StagedModels = []string{eng.Model}
		eng.ready[eng.key()] = true
	}
	if eng.Group.State == site.GroupReady && !eng.openAt.IsZero() && !now.Before(eng.openAt) {
		eng.Group.State = site.GroupOpen
		eng.openAt = time.Time{}
	}
	for mod, at := range eng.stages {
		if !now.Before(at) {
			eng.StagedModels = []string{mod}
			delete(eng.stages, mod)
		}
	}
}

func (eng *engine) key() string {
	return fmt.Sprint(eng.Group.Name, "/", eng.Group.Epoch, "/", eng.members)
}

// observe notes the entries as they are now.
func (wor *world) observe() {
	snp := snapshot{at: wor.now, servers: map[string]*site.Server{}}
	for id, eng := range wor.engines {
		gone := !eng.alive && wor.now.Sub(eng.gone) > 3600*time.Millisecond
		_, away := wor.away[id]
		lapsed := (away || wor.cut[eng.Domain]) && wor.now.After(wor.lapse[id])
		if !gone && !lapsed && !wor.now.Before(wor.hidden[id]) {
			srv := eng.Server
			srv.StagedModels = slices.Clone(eng.StagedModels)
			snp.servers[id] = &srv
		}
	}
	wor.views = append(wor.views, snp)
}

// input returns what the orderer sees.
func (wor *world) input() place.Input {
	pos := len(wor.views) - 1
	for pos > 0 && wor.now.Sub(wor.views[pos].at) < wor.lag {
		pos--
	}
	return place.Input{
		Now: wor.now, View: site.NewView(wor.views[pos].servers, wor.tab), Table: wor.tab, Calm: wor.calm, Load: wor.load(),
		Lost: func(id string) bool {
			eng := wor.engines[id]
			since, away := wor.away[id]
			return !eng.alive && wor.now.Sub(eng.gone) > 800*time.Millisecond || away && wor.now.Sub(since) > 800*time.Millisecond
		},
	}
}

// load returns the load of the models, nil if none is known. One without a group
// is full.
func (wor *world) load() map[string]float64 {
	out := maps.Clone(wor.used)
	for mod := range out {
		if len(wor.serving(mod)) == 0 {
			out[mod] = 1
		}
	}
	return out
}

// sever cuts a domain off: its entries lapse one by one.
func (wor *world) sever(domain string) {
	wor.cut[domain] = true
	for _, id := range wor.ids() {
		if wor.engines[id].Domain == domain {
			wor.lapse[id] = wor.now.Add(2400*time.Millisecond + time.Duration(wor.rnd.Int64N(int64(1200*time.Millisecond))))
		}
	}
}

// isolate cuts one server off.
func (wor *world) isolate(id string) {
	wor.away[id] = wor.now
	wor.lapse[id] = wor.now.Add(3 * time.Second)
}

// ids returns the IDs of all servers in order.
func (wor *world) ids() []string { return slices.Sorted(maps.Keys(wor.engines)) }

// heal ends the cut of a domain: the entries come back within two seconds.
func (wor *world) heal(domain string) {
	delete(wor.cut, domain)
	for _, id := range wor.ids() {
		if wor.engines[id].Domain == domain {
			wor.hidden[id] = wor.now.Add(time.Duration(wor.rnd.Int64N(int64(2 * time.Second))))
		}
	}
}

// head returns the head of a server's group as it truly is.
func (wor *world) head(eng *engine) *engine {
	if len(eng.members) == 0 {
		return nil
	}
	hea := wor.engines[eng.members[0]]
	if hea == nil || !hea.alive || hea.Group.Name != eng.Group.Name || hea.Group.Epoch != eng.Group.Epoch {
		return nil
	}
	return hea
}

// order carries out an order and returns the answer.
func (wor *world) order(ord site.Order) site.OrderResult {
	eng := wor.engines[ord.Server]
	_, away := wor.away[ord.Server]
	switch {
	case eng == nil || !eng.alive || away || wor.cut[eng.Domain]:
		return site.OrderUnknown
	case ord.FencingToken < eng.fence:
		return site.OrderFenced
	}
	eng.fence = ord.FencingToken
	same := eng.Group.State != site.GroupNone && eng.Group.Name == ord.Group && eng.Group.Epoch == ord.Epoch
	switch ord.Kind {
	case site.OrderJoin:
		return wor.join(eng, ord)
	case site.OrderOpen:
		return wor.open(eng, same)
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
		mod := wor.tab.Model(ord.Model)
		eng.stages[mod.Name] = wor.now.Add(mod.LoadTime)
		wor.noteLoad()
		return site.OrderAccepted
	}
	return site.OrderDone
}

func (wor *world) noteLoad() { wor.loads = append(wor.loads, wor.now) }

func (wor *world) join(eng *engine, ord site.Order) site.OrderResult {
	if ord.Epoch < eng.epoch || ord.Epoch == eng.epoch && !slices.Equal(ord.Members, eng.members) {
		return site.OrderFenced
	}
	if ord.Epoch == eng.epoch {
		return site.OrderDone
	}
	if hea := wor.head(eng); hea != nil && eng.Group.Name != ord.Group {
		if hea.Group.State == site.GroupOpen || hea.Group.State == site.GroupClosing || !hea.openAt.IsZero() {
			wor.fail("%s joins %s while %s of %s is open", eng.ID, ord.Group, eng.Group.Name, hea.ID)
		}
	}
	mod := wor.tab.Model(ord.Model)
	took := mod.LoadTime
	switch {
	case eng.last == mod.Name:
		took = joinSame
	case eng.HasStaged(mod.Name):
		took = mod.WarmLoadTime
	case eng.stages[mod.Name].After(wor.now):
		took = eng.stages[mod.Name].Sub(wor.now) + mod.WarmLoadTime
	default:
		wor.noteLoad()
	}
	eng.epoch = ord.Epoch
	eng.members = ord.Members
	eng.Model = ord.Model
	eng.openAt = time.Time{}
	eng.Group = site.Membership{Name: ord.Group, Epoch: ord.Epoch, Rank: slices.Index(ord.Members, eng.ID), State: site.GroupJoining}
	eng.readyAt = wor.now.Add(took)
	return site.OrderAccepted
}

func (wor *world) open(eng *engine, same bool) site.OrderResult {
	if !same || eng.Group.State != site.GroupReady {
		return site.OrderConflict
	}
	for _, id := range eng.members {
		mem := wor.engines[id]
		if mem == nil || !mem.ready[eng.key()] {
			wor.fail("%s opens in epoch %d, and %s has not been ready", eng.Group.Name, eng.Group.Epoch, id)
		}
	}
	if len(eng.members) != wor.tab.Model(eng.Model).GroupSize {
		wor.fail("%s opens with %d members", eng.Group.Name, len(eng.members))
	}
	eng.openAt = wor.now.Add(openTime)
	return site.OrderAccepted
}

// step lets the orderer look once, and time pass.
func (wor *world) step(mac *place.Machine) {
	wor.advance()
	for _, ord := range mac.Step(wor.input()) {
		if wor.rnd.Float64() < wor.loseAnswers {
			wor.lates = append(wor.lates, late{ord: ord, at: wor.now.Add(2*time.Second + time.Duration(wor.rnd.Int64N(int64(4*time.Second))))})
			mac.Answer(ord, site.OrderUnknown, wor.now)
			continue
		}
		mac.Answer(ord, wor.order(ord), wor.now)
	}
}

// run lets the orderer work for a time.
func (wor *world) run(mac *place.Machine, dur time.Duration) {
	for end := wor.now.Add(dur); wor.now.Before(end); {
		wor.step(mac)
	}
}

func (wor *world) kill(id string) {
	wor.engines[id].alive = false
	wor.engines[id].gone = wor.now
}

// serving returns the groups of a model whose members all live and are there.
func (wor *world) serving(model string) []*engine {
	var out []*engine
	for _, eng := range wor.engines {
		if !eng.alive || eng.Group.State != site.GroupOpen || eng.Model != model {
			continue
		}
		whole := true
		for _, id := range eng.members {
			mem := wor.engines[id]
			whole = whole && mem.alive && mem.Group.Name == eng.Group.Name && mem.Group.Epoch == eng.Group.Epoch
		}
		if whole {
			out = append(out, eng)
		}
	}
	slices.SortFunc(out, func(one, two *engine) int { return int(one.StartMillis - two.StartMillis) })
	return out
}

// check ends the test if a server was ordered what breaks a promise.
func (wor *world) check(tst *testing.T) {
	tst.Helper()
	for _, txt := range wor.broken {
		tst.Error(txt)
	}
}

// perWindow returns the largest number of loads that began in five seconds.
func (wor *world) perWindow() int {
	most := 0
	for idx, beg := range wor.loads {
		num := 0
		for _, oth := range wor.loads[idx:] {
			if oth.Sub(beg) < 5*time.Second {
				num++
			}
		}
		most = max(most, num)
	}
	return most
}
