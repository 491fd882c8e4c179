package route

import (
	"math"
	"time"

	"kumquathinge/core"
)

// Default values of Config.
const (
	DefaultChoices      = 2
	DefaultLoadBound    = 1.1
	DefaultRankedGroups = 3
	DefaultMaxBlocks    = 1 << 16
	DefaultMaxGroups    = 1024
	DefaultSlowFactor   = 2.0
	DefaultMinSamples   = 4
	DefaultProbeEvery   = 64
	DefaultEWMAWeight   = 0.2
)

// Config configures a Router. Zero fields take the default values.
type Config struct {
	Choices      int     // groups drawn at random per request
	LoadBound    float64 // maximum load as a multiple of the mean load, at least 1
	RankedGroups int     // groups of the rendezvous ranking tried for a prefix
	MaxBlocks    int     // prefix blocks in the index
	MaxGroups    int     // groups with recorded state
	SlowFactor   float64 // multiple of the median latency above which a group is a straggler
	MinSamples   int     // responses needed before a group can be a straggler
	ProbeEvery   int     // one in this many requests may go to a straggler
	EWMAWeight   float64 // weight of a new latency in the moving average, in (0, 1]
}

// Router implements core.Chooser. Use New. A Router is not safe for concurrent
// use. MaxBlocks and MaxGroups limit its memory.
type Router struct {
	cfg        Config
	groups     map[core.GroupName]*group
	nextID     uint32
	cacheIndex *blockIndex
	candidates []candidate // reused by Choose
	latencies  []float64   // reused by Choose
	indices    []int       // reused by Choose
	useCounter uint64
}

var _ core.Chooser = (*Router)(nil)

// New returns a Router without any recorded groups.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:        cfg,
		groups:     make(map[core.GroupName]*group),
		cacheIndex: newBlockIndex(cfg.MaxBlocks),
	}
}

// candidate is the state of a candidate during one call of Choose.
type candidate struct {
	group     *group
	load      float64 // requests per unit of capacity
	capacity  float64
	straggler bool
}

// Choose returns the index of the group to send the request to, or -1 if cands
// is empty. It counts the request as sent; the caller reports its end with
// Served or Failed.
func (rtr *Router) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	if len(cands) == 0 {
		return -1
	}
	rtr.loadCandidates(cands)
	idx := rtr.pick(blocks, rnd)
	grp := rtr.candidates[idx].group
	grp.addSent(1, now)
	rtr.cacheIndex.add(blocks, grp.asHolder())
	return idx
}

func (rtr *Router) pick(blocks []uint64, rnd uint64) int {
	if idx := rtr.chooseProbe(rnd); idx >= 0 {
		return idx
	}
	tot := rtr.totals()
	if idx := rtr.chooseByPrefix(blocks, tot); idx >= 0 {
		return idx
	}
	return rtr.chooseRandom(tot, rnd)
}

// loadCandidates fills rtr.candidates with the state of the given groups.
func (rtr *Router) loadCandidates(cands []core.Candidate) {
	rtr.candidates = rtr.candidates[:0]
	for idx := range cands {
		cand := &cands[idx]
		grp := rtr.groupFor(cand.Group)
		grp.setFencingToken(cand.FencingToken)
		capacity := max(1, float64(cand.Capacity))
		rtr.candidates = append(rtr.candidates, candidate{
			group:    grp,
			load:     grp.estimatedLoad(cand) / capacity,
			capacity: capacity,
		})
	}
	rtr.markStragglers()
}

// totals are the load and the capacity of all candidates except stragglers.
type totals struct{ load, capacity float64 }

func (rtr *Router) totals() totals {
	var tot totals
	for idx := range rtr.candidates {
		cand := &rtr.candidates[idx]
		if !cand.straggler {
			tot.load += cand.load * cand.capacity
			tot.capacity += cand.capacity
		}
	}
	return tot
}

// withinBound reports whether the group may take one more request without
// exceeding the load bound.
func (rtr *Router) withinBound(cand *candidate, tot totals) bool {
	limit := rtr.cfg.LoadBound * (tot.load + 1) * cand.capacity / tot.capacity
	return cand.load*cand.capacity+1 <= math.Ceil(limit)
}

// chooseRandom returns the least loaded of a few candidates drawn at random.
// Stragglers are included once the others are full.
func (rtr *Router) chooseRandom(tot totals, rnd uint64) int {
	indices := rtr.eligible(tot.load >= tot.capacity)
	best := -1
	state := rnd
	for left := rtr.cfg.Choices; left > 0; left-- {
		state = splitMix64(state + splitMixIncrement)
		idx := indices[state%uint64(len(indices))]
		if best < 0 || rtr.candidates[idx].load < rtr.candidates[best].load {
			best = idx
		}
	}
	return best
}

// eligible returns the indices of all candidates, or only of those that are
// not stragglers.
func (rtr *Router) eligible(all bool) []int {
	rtr.indices = rtr.indices[:0]
	for idx := range rtr.candidates {
		if all || !rtr.candidates[idx].straggler {
			rtr.indices = append(rtr.indices, idx)
		}
	}
	return rtr.indices
}

// Served reports that a request routed by Choose succeeded with the given
// latency. The caller defines what the latency measures, for example the time
// to the first token; it must be the same for all groups.
func (rtr *Router) Served(name core.GroupName, latency time.Duration, now time.Time) {
	grp, ok := rtr.groups[name]
	if !ok {
		return
	}
	grp.addSent(-1, now)
	grp.observeLatency(latency, rtr.cfg.EWMAWeight)
}

// Failed reports that a request routed by Choose ended without a complete
// response.
func (rtr *Router) Failed(name core.GroupName, now time.Time) {
	if grp, ok := rtr.groups[name]; ok {
		grp.addSent(-1, now)
	}
}

// ApplyCacheEvents updates the expected cache contents of a group. Events may
// be late, repeated or missing.
func (rtr *Router) ApplyCacheEvents(name core.GroupName, events []core.CacheEvent) {
	grp := rtr.groupFor(name)
	for _, event := range events {
		rtr.cacheIndex.applyEvent(event, grp.asHolder())
	}
}

// groupFor returns the state of a group and creates it if necessary. If there
// are MaxGroups groups already, it evicts the least recently used one.
func (rtr *Router) groupFor(name core.GroupName) *group {
	rtr.useCounter++
	grp, ok := rtr.groups[name]
	if ok {
		grp.lastUsed = rtr.useCounter
		return grp
	}
	if len(rtr.groups) >= rtr.cfg.MaxGroups {
		rtr.evictGroup()
	}
	rtr.nextID++
	grp = newGroup(name, rtr.nextID)
	grp.lastUsed = rtr.useCounter
	rtr.groups[name] = grp
	return grp
}

func (rtr *Router) evictGroup() {
	var old *group
	for _, grp := range rtr.groups {
		if old == nil || grp.lastUsed < old.lastUsed {
			old = grp
		}
	}
	delete(rtr.groups, old.name)
}

func (cfg Config) withDefaults() Config {
	defaultInt(&cfg.Choices, DefaultChoices)
	defaultInt(&cfg.RankedGroups, DefaultRankedGroups)
	defaultInt(&cfg.MaxBlocks, DefaultMaxBlocks)
	defaultInt(&cfg.MaxGroups, DefaultMaxGroups)
	defaultInt(&cfg.MinSamples, DefaultMinSamples)
	defaultInt(&cfg.ProbeEvery, DefaultProbeEvery)
	if cfg.LoadBound < 1 {
		cfg.LoadBound = DefaultLoadBound
	}
	if cfg.SlowFactor <= 1 {
		cfg.SlowFactor = DefaultSlowFactor
	}
	if cfg.EWMAWeight <= 0 || cfg.EWMAWeight > 1 {
		cfg.EWMAWeight = DefaultEWMAWeight
	}
	return cfg
}

func defaultInt(val *int, def int) {
	if *val <= 0 {
		*val = def
	}
}

// Size is the amount of state in a Router.
type Size struct {
	Groups int
	Blocks int
}

// Size returns the numbers of recorded groups and prefix blocks.
func (rtr *Router) Size() Size {
	return Size{Groups: len(rtr.groups), Blocks: len(rtr.cacheIndex.recent) + len(rtr.cacheIndex.previous)}
}
