package route

import (
	"math"
	"time"

	"kumquathinge/core"
)

// Defaults of Config.
const (
	DefaultChoices    = 2
	DefaultLoadBound  = 1.1
	DefaultHolders    = 3
	DefaultMaxBlocks  = 1 << 16
	DefaultMaxGroups  = 1024
	DefaultSlow       = 2.0
	DefaultMinServed  = 4
	DefaultProbeEvery = 64
	DefaultGain       = 0.2
)

// Config sets a Router's behaviour. Zero fields take the defaults.
type Config struct {
	Choices    int     // groups drawn at random
	LoadBound  float64 // times the mean load, at least 1
	Holders    int     // groups of the rendezvous ranking tried for a prefix
	MaxBlocks  int     // prefix blocks remembered
	MaxGroups  int     // groups remembered
	Slow       float64 // times the median latency that makes a straggler
	MinServed  int     // answers before a group can be a straggler
	ProbeEvery int     // one of so many requests may go to a straggler
	Gain       float64 // weight of a new latency, in (0, 1]
}

// Router implements core.Chooser. Use New. A Router is not safe for
// concurrent use. Its memory is bounded by MaxBlocks and MaxGroups.
type Router struct {
	cfg     Config
	groups  map[core.GroupName]*group
	nextID  uint32
	holds   *index
	views   []view    // reused by Choose
	floats  []float64 // reused by Choose
	ints    []int     // reused by Choose
	lastUse uint64
}

var _ core.Chooser = (*Router)(nil)

// New returns a Router that knows no group.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:    cfg,
		groups: make(map[core.GroupName]*group),
		holds:  newIndex(cfg.MaxBlocks),
	}
}

// view is a candidate during one choice.
type view struct {
	grp  *group
	load float64 // requests per unit of capacity
	cap  float64
	slow bool
}

// Choose returns the index of the group to send the request to, or -1 if
// cands is empty. It counts the request as sent: its owner reports the end by
// Served or Failed.
func (rtr *Router) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	if len(cands) == 0 {
		return -1
	}
	rtr.look(cands)
	idx := rtr.pick(blocks, rnd)
	grp := rtr.views[idx].grp
	grp.sent(1, now)
	rtr.holds.add(blocks, grp.holder())
	return idx
}

func (rtr *Router) pick(blocks []uint64, rnd uint64) int {
	if idx := rtr.probe(rnd); idx >= 0 {
		return idx
	}
	tot := rtr.total()
	if idx := rtr.affine(blocks, tot); idx >= 0 {
		return idx
	}
	return rtr.draw(tot, rnd)
}

// look fills views with what is known of the candidates.
func (rtr *Router) look(cands []core.Candidate) {
	rtr.views = rtr.views[:0]
	for idx := range cands {
		cnd := &cands[idx]
		grp := rtr.group(cnd.Group)
		grp.follow(cnd.FencingToken)
		wide := max(1, float64(cnd.Capacity))
		rtr.views = append(rtr.views, view{
			grp:  grp,
			load: grp.estimate(cnd) / wide,
			cap:  wide,
		})
	}
	rtr.mark()
}

// total is the load and the capacity of all candidates but stragglers.
type total struct{ load, cap float64 }

func (rtr *Router) total() total {
	var tot total
	for idx := range rtr.views {
		vw := &rtr.views[idx]
		if !vw.slow {
			tot.load += vw.load * vw.cap
			tot.cap += vw.cap
		}
	}
	return tot
}

// fits reports whether the group may take one more request by the bound.
func (rtr *Router) fits(vw *view, tot total) bool {
	mine := rtr.cfg.LoadBound * (tot.load + 1) * vw.cap / tot.cap
	return vw.load*vw.cap+1 <= math.Ceil(mine)
}

// draw returns the least loaded of a few candidates drawn at random.
// Stragglers take part once the others are full.
func (rtr *Router) draw(tot total, rnd uint64) int {
	pool := rtr.eligible(tot.load >= tot.cap)
	best := -1
	state := rnd
	for left := rtr.cfg.Choices; left > 0; left-- {
		state = mix(state + golden)
		idx := pool[state%uint64(len(pool))]
		if best < 0 || rtr.views[idx].load < rtr.views[best].load {
			best = idx
		}
	}
	return best
}

// eligible returns the indices of all views, or of those that aren't
// stragglers.
func (rtr *Router) eligible(all bool) []int {
	rtr.ints = rtr.ints[:0]
	for idx := range rtr.views {
		if all || !rtr.views[idx].slow {
			rtr.ints = append(rtr.ints, idx)
		}
	}
	return rtr.ints
}

// Served tells that a request that Choose placed ended well, after the
// latency. The latency's meaning is its owner's, for example the time to the
// first token; it must be the same for all groups.
func (rtr *Router) Served(name core.GroupName, latency time.Duration, now time.Time) {
	grp, ok := rtr.groups[name]
	if !ok {
		return
	}
	grp.sent(-1, now)
	grp.observe(latency, rtr.cfg.Gain)
}

// Failed tells that a request that Choose placed ended without an answer.
func (rtr *Router) Failed(name core.GroupName, now time.Time) {
	if grp, ok := rtr.groups[name]; ok {
		grp.sent(-1, now)
	}
}

// Cached takes in a group's cache events, which may come late, twice or with
// gaps.
func (rtr *Router) Cached(name core.GroupName, events []core.CacheEvent) {
	grp := rtr.group(name)
	for _, evt := range events {
		rtr.holds.correct(evt, grp.holder())
	}
}

// group returns the group's state. Over MaxGroups, the one that was unused
// for longest is forgotten.
func (rtr *Router) group(name core.GroupName) *group {
	rtr.lastUse++
	grp, ok := rtr.groups[name]
	if ok {
		grp.used = rtr.lastUse
		return grp
	}
	if len(rtr.groups) >= rtr.cfg.MaxGroups {
		rtr.forget()
	}
	rtr.nextID++
	grp = newGroup(name, rtr.nextID)
	grp.used = rtr.lastUse
	rtr.groups[name] = grp
	return grp
}

func (rtr *Router) forget() {
	var old *group
	for _, grp := range rtr.groups {
		if old == nil || grp.used < old.used {
			old = grp
		}
	}
	delete(rtr.groups, old.name)
}

func (cfg Config) withDefaults() Config {
	setInt(&cfg.Choices, DefaultChoices)
	setInt(&cfg.Holders, DefaultHolders)
	setInt(&cfg.MaxBlocks, DefaultMaxBlocks)
	setInt(&cfg.MaxGroups, DefaultMaxGroups)
	setInt(&cfg.MinServed, DefaultMinServed)
	setInt(&cfg.ProbeEvery, DefaultProbeEvery)
	if cfg.LoadBound < 1 {
		cfg.LoadBound = DefaultLoadBound
	}
	if cfg.Slow <= 1 {
		cfg.Slow = DefaultSlow
	}
	if cfg.Gain <= 0 || cfg.Gain > 1 {
		cfg.Gain = DefaultGain
	}
	return cfg
}

func setInt(val *int, def int) {
	if *val <= 0 {
		*val = def
	}
}

// Size is how much a Router remembers.
type Size struct {
	Groups int
	Blocks int
}

// Size returns the numbers of groups and prefix blocks remembered.
func (rtr *Router) Size() Size {
	return Size{Groups: len(rtr.groups), Blocks: len(rtr.holds.young) + len(rtr.holds.old)}
}
