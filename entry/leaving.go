package entry

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
)

// leavingServers holds the processes of servers that said in an answer that they
// leave. Until the process ends, its server counts as draining, whatever its entry
// says. Only the registry's task uses it.
type leavingServers struct {
	// notedAt holds when this node learned that a process leaves.
	notedAt map[site.ServerRun]time.Time
}

// leavingNotice is the notice of a process, from an answer to a request of this node
// or, without a request, from a peer.
type leavingNotice struct {
	run     site.ServerRun
	request string
}

// leavingRetention is the time for which a process is known to leave. It exceeds the
// time that a server takes to end.
const leavingRetention = 10 * time.Minute

// submitLeaving queues a notice for the registry. It is dropped if the queue is full:
// the server's next answer repeats it.
func (reg *serverRegistry) submitLeaving(notice leavingNotice) {
	if known := reg.leavingSnapshot.Load(); known != nil && (*known)[notice.run] {
		return
	}
	select {
	case reg.leavingIn <- notice:
	default:
	}
}

// noteLeaving applies a notice and reports whether it is new. A peer's notice counts
// only for a registered process.
func (reg *serverRegistry) noteLeaving(notice leavingNotice, now time.Time) bool {
	_, known := reg.leaving.notedAt[notice.run]
	srv := reg.servers[notice.run.ID]
	if known || notice.request == "" && (srv == nil || srv.Run() != notice.run) {
		return false
	}
	reg.leaving.notedAt[notice.run] = now
	reg.metrics.serversLeaving.Inc()
	reg.log.WithFields(logrus.Fields{
		"event": "server_leaving", "request": notice.request, "server": notice.run.ID, "born": notice.run.StartMillis, "from_peer": notice.request == "",
	}).Info("a server said in an answer that it leaves; it gets no further requests")
	return true
}

// applyLeaving marks the servers that leave as draining, and publishes their
// processes.
func (reg *serverRegistry) applyLeaving(servers map[string]*site.Server, now time.Time) {
	snapshot := map[site.ServerRun]bool{}
	for run, at := range reg.leaving.notedAt {
		if now.Sub(at) > leavingRetention {
			delete(reg.leaving.notedAt, run)
			continue
		}
		snapshot[run] = true
		srv := servers[run.ID]
		if srv == nil || srv.StartMillis != run.StartMillis || srv.Draining {
			continue
		}
		draining := *srv
		draining.Draining = true
		servers[run.ID] = &draining
	}
	if known := reg.leavingSnapshot.Load(); known == nil || !maps.Equal(*known, snapshot) {
		reg.leavingSnapshot.Store(&snapshot)
	}
}

// leavingRuns returns the processes that leave and still have a registration, at most
// maxLeavingRuns of them.
func (reg *serverRegistry) leavingRuns() []site.ServerRun {
	known := reg.leavingSnapshot.Load()
	if known == nil || len(*known) == 0 {
		return nil
	}
	view := reg.state.view.Load()
	var out []site.ServerRun
	for run := range *known {
		if srv := view.Server(run.ID); srv != nil && srv.StartMillis == run.StartMillis && len(out) < maxLeavingRuns {
			out = append(out, run)
		}
	}
	return out
}

// maxLeavingRuns limits the processes in a heartbeat, at about 25 bytes each.
const maxLeavingRuns = 200
