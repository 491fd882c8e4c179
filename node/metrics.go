package node

import (
	"expvar"
	"fmt"
	"net/http"

	"kumquathinge/core"
)

// metricsHandler returns the handler of /debug/vars.
func (node *Node) metricsHandler() http.Handler {
	node.metrics.Set("applied", expvar.Func(func() any { return node.store.Status().Offset }))
	node.metrics.Set("log_ok", expvar.Func(func() any { return node.store.Status().LogOK }))
	node.metrics.Set("live_nodes", expvar.Func(func() any { return len(node.membership.liveNodes().heartbeats) }))
	node.metrics.Set("open_requests", expvar.Func(func() any { return node.tracker.inFlight() }))
	node.metrics.Set("groups_serving", expvar.Func(func() any { return node.servingGroups() }))
	node.metrics.Set("queue", node.queue.Stats())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", node.writeMetrics)
	return mux
}

// writeMetrics writes the process's variables and the node's own map as JSON.
func (node *Node) writeMetrics(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(rw, "{%q: %s", metricsName, node.metrics)
	expvar.Do(func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(rw, ",\n%q: %s", kv.Key, kv.Value)
	})
	_, _ = fmt.Fprint(rw, "}\n")
}

// servingGroups counts the zone's groups that are permitted to get work.
func (node *Node) servingGroups() int {
	now := node.jobs.now()
	num := 0
	for _, assignment := range node.stateCache.get().zoneAssignments {
		if _, err := node.jobs.gate.Permit(assignment.Group, now); core.CodeOf(err) == core.CodeOK {
			num++
		}
	}
	return num
}
