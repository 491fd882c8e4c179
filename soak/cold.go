package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/platform/platfk"
)

// Cold servers of a run.
const (
	coldTime      = 3 * time.Second
	coldPerSecond = 4
	coldRatio     = 1.5
	coldSlack     = 2
	// maxColdNotice is the longest delay of the first entry in which a server states that
	// it is cold, as on the platform.
	maxColdNotice = 1200 * time.Millisecond
	// coldNoticeSlack is the time that a change of the store takes to all nodes.
	coldNoticeSlack = 600 * time.Millisecond
)

// coldConfig returns the cold time of the servers, none unless the run has such faults.
func (dep *deployment) coldConfig() platfk.ColdConfig {
	if !dep.options.Cold {
		return platfk.ColdConfig{}
	}
	return platfk.ColdConfig{Time: coldTime, PerSecond: coldPerSecond}
}

// chillServer makes a server cold: in half of the cases at once, with a late notice,
// otherwise by a restart after the fault.
func (dep *deployment) chillServer(srv *server, fault Fault, rng *rand.Rand) func() {
	if fault.Share < 0.5 {
		srv.Chill(time.Duration(rng.Int64N(int64(maxColdNotice))))
		return nil
	}
	return dep.freezeServer(srv, fault.Duration)
}

// checkCold checks that no cold server received more requests in a second than are
// allowed, and that none crashed by them.
func (dep *deployment) checkCold(addf func(string, ...any)) {
	for _, srv := range dep.allServers() {
		for _, violation := range ColdViolations(srv.Requests(), dep.storeFaulty) {
			addf("cold server %s %s", srv.ID(), violation)
		}
	}
}

// ColdViolations returns what requests to a server were too many while it was cold. A
// request counts once the nodes can know that the server is cold: from the time at which it
// has been cold for the longest notice, in periods without a fault of the store. A crash
// counts if all requests of the second before it count.
func ColdViolations(reqs []platfk.ReceivedRequest, storeFaulty func(at time.Time) bool) []string {
	var out []string
	var times []time.Time
	for _, req := range reqs {
		if !req.Cold || req.ColdFor < maxColdNotice+coldNoticeSlack || storeFaulty(req.ReceivedAt) {
			continue
		}
		times = append(times, req.ReceivedAt)
		if req.Crashed && req.ColdFor >= maxColdNotice+coldNoticeSlack+time.Second {
			out = append(out, "crashed at "+req.ReceivedAt.Format("15:04:05.000"))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for idx, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, idx-first+1)
	}
	if most > coldRatio*coldPerSecond+coldSlack {
		out = append(out, fmt.Sprintf("received %d requests in a second", most))
	}
	return out
}

// storeFaulty reports whether a fault of the store, which lasts up to maxDuration, began
// or ended in the time in which the nodes would have read that a server is cold.
func (dep *deployment) storeFaulty(at time.Time) bool {
	from := at.Add(-coldTime - maxColdNotice - maxDuration)
	for _, node := range dep.nodes {
		if slices.ContainsFunc(node.storeFaultTimes(), func(fault time.Time) bool { return fault.After(from) && fault.Before(at) }) {
			return true
		}
	}
	return false
}
