package route

import (
	"math"
	"time"

	"kumquathinge/core"
)

// Defaults of Config.
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

// Config sets a Router's behaviour. Zero fields take the defaults.
type Config struct {
	Choices      int     // groups drawn at random
	LoadBound    float64 // times the mean load, at least 1
	RankedGroups int     // groups of the rendezvous ranking tried for a prefix
	MaxBlocks    int     // prefix blocks remembered
	MaxGroups    int     // groups remembered
	SlowFactor   float64 // times the median latency that makes a straggler
	MinSamples   int     // answers before a group can be a straggler
	ProbeEvery   int     // one of so many requests may go to a straggler
	EWMAWeight   float64 // weight of a new latency, in (0, 1]
}

// Router implements core.Chooser. Use New. A Router is not safe for
// concurrent use. Its memory is bounded by MaxBlocks and MaxGroups.
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

// New returns a Router that knows no group.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:        cfg,
		groups:     make(map[core.GroupName]*group),
		cacheIndex: newBlockIndex(cfg.MaxBlocks),
	}
}

// candidate is a candidate during one choice.
type candidate struct {
	group     *group
	load      float64 // requests per unit of capacity
	capacity  float64
	straggler bool
}

// Choose returns the index of the group to send the request to, or -1 if
// cands is empty. It counts the request as sent: its owner reports the end by
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

// loadCandidates fills views with what is known of the candidates.
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

// totals is the load and the capacity of all candidates but stragglers.
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

// withinBound reports whether the group may take one more request by the bound.
func (rtr *Router) withinBound(cand *candidate, tot totals) bool {
	mine := rtr.cfg.LoadBound * (tot.load + 1) * cand.capacity / tot.capacity
	return cand.load*cand.capacity+1 <= math.Ceil(mine)
}

// chooseRandom returns the least loaded of a few candidates drawn at random.
// Stragglers take part once the others are full.
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

// eligible returns the indices of all views, or of those that aren't
// stragglers.
func (rtr *Router) eligible(all bool) []int {
	rtr.indices = rtr.indices[:0]
	for idx := range rtr.candidates {
		if all || !rtr.candidates[idx].straggler {
			rtr.indices = append(rtr.indices, idx)
		}
	}
	return rtr.indices
}

// Served tells that a request that Choose placed ended well, after the
// latency. The latency's meaning is its owner's, for example the time to the
// first token; it must be the same for all groups.
func (rtr *Router) Served(name core.GroupName, latency time.Duration, now time.Time) {
	grp, ok := rtr.groups[name]
	if !ok {
		return
	}
	grp.addSent(-1, now)
	grp.observeLatency(latency, rtr.cfg.EWMAWeight)
}

// Failed tells that a request that Choose placed ended without an answer.
func (rtr *Router) Failed(name core.GroupName, now time.Time) {
	if grp, ok := rtr.groups[name]; ok {
		grp.addSent(-1, now)
	}
}

// ApplyCacheEvents takes in a group's cache events, which may come late, twice or with
// gaps.
func (rtr *Router) ApplyCacheEvents(name core.GroupName, events []core.CacheEvent) {
	grp := rtr.groupFor(name)
	for _, event := range events {
		rtr.cacheIndex.applyEvent(event, grp.asHolder())
	}
}

// groupFor returns the group's state. Over MaxGroups, the one that was unused
// for longest is forgotten.
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

// Size is how much a Router remembers.
type Size struct {
	Groups int
	Blocks int
}

// Size returns the numbers of groups and prefix blocks remembered.
func (rtr *Router) Size() Size {
	return Size{Groups: len(rtr.groups), Blocks: len(rtr.cacheIndex.recent) + len(rtr.cacheIndex.previous)}
}
