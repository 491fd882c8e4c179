package opcli

import (
	"cmp"
	"slices"

	"kumquathinge/core"
	"kumquathinge/io/oper"
)

// overview is what the entry VMs that answered know together. Each knows its
// own zone best; seen has the zones of those that answered.
type overview struct {
	oper.Status
	seen core.Set[core.Zone]
}

// overview asks every server and joins the answers. It returns an error if
// none answers.
func (apl *app) overview() (overview, error) {
	var stas []oper.Status
	var last error
	for _, srv := range apl.cln.servers {
		var sta oper.Status
		err := apl.cln.getFrom(srv, "/v1/status", nil, &sta)
		if err != nil {
			last = err
			printf(apl.errw, "kumctl: %s: %v\n", srv, err)
			continue
		}
		stas = append(stas, sta)
	}
	if len(stas) == 0 {
		return overview{}, last
	}
	return join(stas), nil
}

// join joins answers, of which there is one at least.
func join(stas []oper.Status) overview {
	ovw := overview{Status: stas[0], seen: core.NewSet[core.Zone]()}
	zones := make([]core.Zone, len(stas))
	for idx, sta := range stas {
		zones[idx] = zoneOf(sta)
		ovw.seen.Add(zones[idx])
	}
	ovw.Groups, ovw.VMs, ovw.Nodes, ovw.Quarantine = nil, nil, nil, nil
	for idx, sta := range stas {
		own := func(zon core.Zone) bool { return zon == zones[idx] }
		ovw.Groups = union(ovw.Groups, sta.Groups,
			func(grp oper.GroupStatus) string { return string(grp.Name) },
			func(grp oper.GroupStatus) bool { return own(grp.Zone) })
		ovw.VMs = union(ovw.VMs, sta.VMs,
			func(vm oper.VMStatus) string { return string(vm.Name) },
			func(vm oper.VMStatus) bool { return own(vm.Zone) })
		ovw.Nodes = union(ovw.Nodes, sta.Nodes,
			func(nod oper.NodeStatus) string { return string(nod.Name) },
			func(nod oper.NodeStatus) bool { return nod.Name == sta.Node })
		ovw.Quarantine = union(ovw.Quarantine, sta.Quarantine,
			func(qua oper.Quarantined) string { return qua.Fingerprint },
			func(oper.Quarantined) bool { return false })
	}
	return ovw
}

// union adds more to have by name; those of more that are better take the
// place of those in have.
func union[T any](have, more []T, name func(T) string, better func(T) bool) []T {
	for _, elm := range more {
		at := slices.IndexFunc(have, func(old T) bool { return name(old) == name(elm) })
		switch {
		case at < 0:
			have = append(have, elm)
		case better(elm):
			have[at] = elm
		}
	}
	slices.SortStableFunc(have, func(one, two T) int { return cmp.Compare(name(one), name(two)) })
	return have
}

// zoneOf returns the zone of the node that answered.
func zoneOf(sta oper.Status) core.Zone {
	for _, nod := range sta.Nodes {
		if nod.Name == sta.Node {
			return nod.Zone
		}
	}
	return ""
}

// hashDiffers reports whether another node has another state at the same
// offset.
func hashDiffers(nod oper.NodeStatus, nods []oper.NodeStatus) bool {
	return slices.ContainsFunc(nods, func(oth oper.NodeStatus) bool {
		return nod.Live && oth.Live && nod.HashOffset > 0 && oth.HashOffset == nod.HashOffset && oth.Hash != nod.Hash
	})
}
