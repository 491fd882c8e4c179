package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/platform"
)

const (
	// evacuationBound is the time after the acknowledgement of an evacuation from which on
	// no request may reach a server of the zone.
	evacuationBound = 5 * time.Second
	// minEvacuation and maxEvacuation limit the time that a zone is evacuated. Most of it
	// lies after the bound.
	minEvacuation = evacuationBound + 3*time.Second
	maxEvacuation = evacuationBound + 7*time.Second
	// evacuationProbability is the probability that a zone is evacuated in a run.
	evacuationProbability = 0.6
)

// AddEvacuation adds the evacuation of a zone to the faults of some seeds. It is planned
// maintenance.
func AddEvacuation(faults []Fault, seed uint64, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	if rng.Float64() > evacuationProbability {
		return faults
	}
	faults = append(slices.Clone(faults), Fault{
		Kind: Evacuate, StartsAfter: time.Duration(rng.Int64N(int64(duration))), Duration: minEvacuation + time.Duration(rng.Int64N(int64(maxEvacuation-minEvacuation))),
		TargetSeed: rng.Uint64(), Share: 1,
	})
	sortFaults(faults)
	return faults
}

// evacuation is the evacuation of a zone.
type evacuation struct {
	zone string
	Period
}

// evacuationLog holds what decides when a zone must be empty.
type evacuationLog struct {
	evacuations []evacuation
	// storeFaults are the periods in which some node could not read the store as usual.
	storeFaults []Period
	// rewrites are the times at which the operator wrote again what the store had lost.
	rewrites []Period
}

// injectEvacuation evacuates a zone, and returns the function that takes it back.
func (dep *deployment) injectEvacuation(rng *rand.Rand) func() {
	zone := zoneName(rng.IntN(3))
	key := platform.EvacuationKey(zone)
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.store.Append(platform.TopicOperator, key, []byte("{}"))
	idx := len(dep.evacuated.evacuations)
	dep.evacuated.evacuations = append(dep.evacuated.evacuations, evacuation{zone: zone, Period: Period{From: time.Now()}})
	return func() {
		dep.mu.Lock()
		defer dep.mu.Unlock()
		dep.evacuated.evacuations[idx].To = time.Now()
		dep.store.Append(platform.TopicOperator, key, nil)
	}
}

// rewriteEvacuations writes the newest state of each evacuated zone again, after the store
// came back from an older copy at the time. The caller holds dep.mu.
func (dep *deployment) rewriteEvacuations(restoredAt time.Time) {
	for _, evac := range dep.evacuated.evacuations {
		var value []byte
		if evac.To.IsZero() {
			value = []byte("{}")
		}
		dep.store.Append(platform.TopicOperator, platform.EvacuationKey(evac.zone), value)
	}
	dep.evacuated.rewrites = append(dep.evacuated.rewrites, Period{From: restoredAt, To: time.Now()})
}

// beginStoreFault records a fault of the store and returns the function that records its
// end.
func (dep *deployment) beginStoreFault() func() {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	idx := len(dep.evacuated.storeFaults)
	dep.evacuated.storeFaults = append(dep.evacuated.storeFaults, Period{From: time.Now()})
	return func() {
		dep.mu.Lock()
		defer dep.mu.Unlock()
		dep.evacuated.storeFaults[idx].To = time.Now()
	}
}

// forbidden reports whether a zone had to be empty at the time, for requests of a process
// that had started at startedAt. Faults of the store delay an evacuation that nodes have
// not read yet; a store that came back from an older copy delays it for processes that
// started since.
func (log *evacuationLog) forbidden(zone string, at, startedAt time.Time) bool {
	return slices.ContainsFunc(log.evacuations, func(evac evacuation) bool {
		due := evac.From.Add(evacuationBound)
		for _, fault := range log.storeFaults {
			if fault.overlaps(evac.From, due) && (fault.To.IsZero() || fault.To.Add(evacuationBound).After(due)) {
				due = fault.To.Add(evacuationBound)
				if fault.To.IsZero() {
					return false
				}
			}
		}
		for _, rewrite := range log.rewrites {
			if rewrite.From.Before(startedAt) && rewrite.overlaps(evac.From, at) && rewrite.To.Add(evacuationBound).After(due) {
				due = rewrite.To.Add(evacuationBound)
			}
		}
		return evac.zone == zone && at.After(due) && (evac.To.IsZero() || at.Before(evac.To))
	})
}

// checkEvacuations checks that no request reached a server of an evacuated zone.
func (dep *deployment) checkEvacuations(requestsByID map[string][]serverRequest, addf func(string, ...any)) {
	for _, call := range dep.calls.all() {
		for _, req := range requestsByID[call.id] {
			startedAt := time.Time{}
			_, _, _, lives := call.node.history()
			for _, life := range lives {
				if life.From.Before(req.ReceivedAt) {
					startedAt = life.From
				}
			}
			if dep.evacuated.forbidden(req.srv.zone, req.ReceivedAt, startedAt) {
				addf("server %s of the evacuated zone %s received a request at %s: %v", req.srv.ID(), req.srv.zone, req.ReceivedAt.Format("15:04:05.000"), call)
			}
		}
	}
}
