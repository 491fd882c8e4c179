package node

import (
	"expvar"
	"fmt"
	"net/http"

	"kumquathinge/core"
)

// metrics returns the handler of /debug/vars.
func (nod *Node) metrics() http.Handler {
	nod.met.Set("applied", expvar.Func(func() any { return nod.sto.Status().Offset }))
	nod.met.Set("log_ok", expvar.Func(func() any { return nod.sto.Status().LogOK }))
	nod.met.Set("live_nodes", expvar.Func(func() any { return len(nod.bet.circle().live) }))
	nod.met.Set("open_requests", expvar.Func(func() any { return nod.stp.count() }))
	nod.met.Set("groups_serving", expvar.Func(func() any { return nod.serving() }))
	nod.met.Set("queue", nod.que.Stats())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", nod.writeMetrics)
	return mux
}

// writeMetrics writes the process's variables and the node's own map as JSON.
func (nod *Node) writeMetrics(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(wri, "{%q: %s", metricsName, nod.met)
	expvar.Do(func(kvl expvar.KeyValue) {
		_, _ = fmt.Fprintf(wri, ",\n%q: %s", kvl.Key, kvl.Value)
	})
	_, _ = fmt.Fprint(wri, "}\n")
}

// serving counts the zone's groups that may get work now.
func (nod *Node) serving() int {
	now := nod.jbs.now()
	num := 0
	for _, asg := range nod.wls.get().assigned {
		if _, err := nod.jbs.gat.Permit(asg.Group, now); core.CodeOf(err) == core.CodeOK {
			num++
		}
	}
	return num
}
