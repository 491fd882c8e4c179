package opcli

import (
	"cmp"
	"slices"

	"kumquathinge/core"
	"kumquathinge/io/oper"
)

// mergedStatus combines the status of all entry VMs that responded. For groups
// and VMs of a zone, the status from an entry VM of that zone takes precedence.
// answeredZones holds the zones of the entry VMs that responded.
type mergedStatus struct {
	oper.Status
	answeredZones core.Set[core.Zone]
}

// fetchStatus requests the status of every server and merges the responses. It
// prints the errors of single servers, and returns an error if none responds.
func (app *cliApp) fetchStatus() (mergedStatus, error) {
	var statuses []oper.Status
	var lastErr error
	for _, srv := range app.client.servers {
		var status oper.Status
		err := app.client.getFrom(srv, "/v1/status", nil, &status)
		if err != nil {
			lastErr = err
			printf(app.stderr, "kumctl: %s: %v\n", srv, err)
			continue
		}
		statuses = append(statuses, status)
	}
	if len(statuses) == 0 {
		return mergedStatus{}, lastErr
	}
	return mergeStatuses(statuses), nil
}

// mergeStatuses merges one or more statuses. Node, readiness and log are those of
// the first.
func mergeStatuses(statuses []oper.Status) mergedStatus {
	merged := mergedStatus{Status: statuses[0], answeredZones: core.NewSet[core.Zone]()}
	zones := make([]core.Zone, len(statuses))
	for idx, status := range statuses {
		zones[idx] = zoneOf(status)
		merged.answeredZones.Add(zones[idx])
	}
	merged.Groups, merged.VMs, merged.Nodes, merged.Quarantine = nil, nil, nil, nil
	for idx, status := range statuses {
		inOwnZone := func(zone core.Zone) bool { return zone == zones[idx] }
		merged.Groups = mergeByName(merged.Groups, status.Groups,
			func(group oper.GroupStatus) string { return string(group.Name) },
			func(group oper.GroupStatus) bool { return inOwnZone(group.Zone) })
		merged.VMs = mergeByName(merged.VMs, status.VMs,
			func(vm oper.VMStatus) string { return string(vm.Name) },
			func(vm oper.VMStatus) bool { return inOwnZone(vm.Zone) })
		merged.Nodes = mergeByName(merged.Nodes, status.Nodes,
			func(node oper.NodeStatus) string { return string(node.Name) },
			func(node oper.NodeStatus) bool { return node.Name == status.Node })
		merged.Quarantine = mergeByName(merged.Quarantine, status.Quarantine,
			func(entry oper.Quarantined) string { return entry.Fingerprint },
			func(oper.Quarantined) bool { return false })
	}
	return merged
}

// mergeByName adds the elements of more to merged and sorts by name. An element
// whose name is in merged already replaces the old one only if it is preferred.
func mergeByName[T any](merged, more []T, name func(T) string, preferred func(T) bool) []T {
	for _, elem := range more {
		idx := slices.IndexFunc(merged, func(old T) bool { return name(old) == name(elem) })
		switch {
		case idx < 0:
			merged = append(merged, elem)
		case preferred(elem):
			merged[idx] = elem
		}
	}
	slices.SortStableFunc(merged, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return merged
}

// zoneOf returns the zone of the node that reported the status.
func zoneOf(status oper.Status) core.Zone {
	for _, node := range status.Nodes {
		if node.Name == status.Node {
			return node.Zone
		}
	}
	return ""
}

// hashDiffers reports whether another live node has a different state hash at the
// same position in the log.
func hashDiffers(node oper.NodeStatus, nodes []oper.NodeStatus) bool {
	return slices.ContainsFunc(nodes, func(other oper.NodeStatus) bool {
		return node.Live && other.Live && node.HashOffset > 0 && other.Era == node.Era && other.HashOffset == node.HashOffset && other.Hash != node.Hash
	})
}
