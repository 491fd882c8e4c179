package evac

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// maxReturned is the number of zones in service whose last evacuation is remembered.
	// Deployments have a few zones; names that operators misspell must not add up.
	maxReturned = 64
	// maxDecisions is the number of records that are remembered for each zone, to tell
	// those that a store restored from new ones.
	maxDecisions = 32
)

// Update is a record of the operators' topic about a zone, or the removal of its key.
type Update struct {
	Zone string
	// Requested is set for a record with a value, which requests the evacuation. A record
	// without one, or a missing key, ends it.
	Requested bool
	// Position is the position of the record, or the end of the content that lacks the key.
	Position site.Position
	// Absent is set if the key is missing and no record says that it was removed.
	Absent bool
	// Content is set if the record is part of the content that a node reads as a whole:
	// when it starts, or when the store came back from an older copy. It may be older than
	// what other nodes, or this one, have read.
	Content bool
}

// Transition is the effect of an Update.
type Transition uint8

const (
	// Unchanged means that the zone stays in the state that it was in.
	Unchanged Transition = iota
	// Begun means that the evacuation of the zone began.
	Begun
	// Ended means that the zone returned to service.
	Ended
	// Ignored means that the update is older than what is known: the store restored it.
	Ignored
)

// String returns the name of the transition.
func (tr Transition) String() string {
	return [...]string{"unchanged", "begun", "ended", "ignored"}[tr]
}

// decision is a record that was read.
type decision struct {
	position  site.Position
	requested bool
}

// zoneState is what is known of one zone.
type zoneState struct {
	evacuated bool
	// position is that of the record that decided, content is set if it was part of
	// content that was read as a whole.
	position          site.Position
	content           bool
	since, returnedAt time.Time
	decisions         []decision
}

// State holds the evacuations. It is not safe for concurrent use.
type State struct {
	zones map[string]*zoneState
}

// NewState returns a State without evacuations.
func NewState() *State { return &State{zones: map[string]*zoneState{}} }

// Apply applies an update that was read at now.
func (st *State) Apply(up Update, now time.Time) Transition {
	zone := st.zones[up.Zone]
	if zone == nil {
		if !up.Requested {
			return Unchanged
		}
		zone = &zoneState{}
		st.zones[up.Zone] = zone
	}
	if zone.evacuated != up.Requested && zone.outdated(up) {
		return Ignored
	}
	zone.record(up)
	return st.set(zone, up.Requested, now)
}

// set begins or ends the evacuation of a zone, unless that is its state.
func (st *State) set(zone *zoneState, evacuated bool, now time.Time) Transition {
	switch {
	case zone.evacuated == evacuated:
		return Unchanged
	case evacuated:
		zone.evacuated, zone.since = true, now
		return Begun
	}
	zone.evacuated, zone.since, zone.returnedAt = false, time.Time{}, now
	st.dropOldest()
	return Ended
}

// outdated reports whether an update of restored content says nothing new: the content
// lacks the key, or the record is one that was read before the store came back. A record
// is recognised by its offset, which the copy preserves.
func (zone *zoneState) outdated(up Update) bool {
	if !up.Content {
		return false
	}
	return up.Absent || slices.ContainsFunc(zone.decisions, func(known decision) bool {
		return known.requested == up.Requested && known.position.Offset == up.Position.Offset && known.position.Era < up.Position.Era
	})
}

// record remembers the record of an update.
func (zone *zoneState) record(up Update) {
	zone.position, zone.content = up.Position, up.Content
	if up.Absent {
		return
	}
	zone.decisions = append(zone.decisions, decision{position: up.Position, requested: up.Requested})
	zone.decisions = zone.decisions[max(0, len(zone.decisions)-maxDecisions):]
}

// dropOldest forgets the zones that returned to service first beyond maxReturned.
func (st *State) dropOldest() {
	returned := slices.DeleteFunc(slices.Collect(maps.Keys(st.zones)), st.Evacuated)
	if len(returned) <= maxReturned {
		return
	}
	slices.SortFunc(returned, func(one, two string) int {
		return cmp.Or(st.ReturnedAt(one).Compare(st.ReturnedAt(two)), cmp.Compare(one, two))
	})
	for _, name := range returned[:len(returned)-maxReturned] {
		delete(st.zones, name)
	}
}

// Evacuated reports whether a zone is evacuated.
func (st *State) Evacuated(zone string) bool {
	known := st.zones[zone]
	return known != nil && known.evacuated
}

// Since returns when the evacuation of a zone was read, zero if it is in service.
func (st *State) Since(zone string) time.Time {
	if known := st.zones[zone]; known != nil {
		return known.since
	}
	return time.Time{}
}

// ReturnedAt returns when the last end of an evacuation of a zone was read, zero if none
// was.
func (st *State) ReturnedAt(zone string) time.Time {
	if known := st.zones[zone]; known != nil {
		return known.returnedAt
	}
	return time.Time{}
}

// Position returns the position of the record that decides on a zone.
func (st *State) Position(zone string) site.Position {
	if known := st.zones[zone]; known != nil {
		return known.position
	}
	return site.Position{}
}

// Evacuations returns an immutable copy of the state of all zones.
func (st *State) Evacuations() site.Evacuations {
	since, returnedAt := map[string]time.Time{}, map[string]time.Time{}
	for name, zone := range st.zones {
		if zone.evacuated {
			since[name] = zone.since
		}
		if !zone.returnedAt.IsZero() {
			returnedAt[name] = zone.returnedAt
		}
	}
	return site.NewEvacuations(since, returnedAt)
}
