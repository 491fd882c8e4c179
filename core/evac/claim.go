package evac

import (
	"cmp"
	"slices"
	"time"

	"kumquathinge/core/site"
)

// maxClaims limits the claims of a node, which heartbeats carry.
const maxClaims = 16

// Claim is a decision on a zone that a node has read in an earlier era of the store, or
// record by record in the current one. Nodes that have read less learn from it what the
// content of the store doesn't show: that a record was lost, restored or removed.
type Claim struct {
	Zone      string `cbor:"1,keyasint"`
	Evacuated bool   `cbor:"2,keyasint,omitempty"`
	// Era and Offset are the position of the record that decided.
	Era    int64 `cbor:"3,keyasint"`
	Offset int64 `cbor:"4,keyasint"`
}

// Claims returns the decisions that this node has read in eras before the given one, or
// not as part of its content, the latest first. The caller must have read the whole content
// of that era.
func (st *State) Claims(era int64) []Claim {
	var out []Claim
	for name, zone := range st.zones {
		if zone.position.Era < era || !zone.content {
			out = append(out, Claim{Zone: name, Evacuated: zone.evacuated, Era: zone.position.Era, Offset: zone.position.Offset})
		}
	}
	slices.SortFunc(out, func(one, two Claim) int {
		return cmp.Or(cmp.Compare(two.Era, one.Era), cmp.Compare(two.Offset, one.Offset), cmp.Compare(one.Zone, two.Zone))
	})
	return out[:min(len(out), maxClaims)]
}

// Adopt applies a claim of a node that has read the topic up to asOf, while this node has
// read it up to next. The claim is used if that node has read at least as far, so that it
// has read each record of the current era that this node knows, and this node knows no
// later decision. One that was part of the content of this era counts as older than a
// claim of an earlier era: the claiming node has read it as well.
func (st *State) Adopt(claim Claim, asOf, next site.Position, now time.Time) Transition {
	pos := site.Position{Era: claim.Era, Offset: claim.Offset}
	if claim.Zone == "" || asOf.Era != next.Era || asOf.Before(next) || pos.Era > next.Era {
		return Unchanged
	}
	zone := st.zones[claim.Zone]
	switch {
	case zone == nil && !claim.Evacuated:
		return Unchanged
	case zone == nil:
		zone = &zoneState{}
		st.zones[claim.Zone] = zone
	case zone.content && zone.position.Era == next.Era && pos.Era < next.Era:
	case !zone.position.Before(pos):
		return Unchanged
	}
	zone.record(Update{Requested: claim.Evacuated, Position: pos})
	return st.set(zone, claim.Evacuated, now)
}
