package node

import (
	"sync/atomic"

	"kumquathinge/core"
	"kumquathinge/queue"
	"kumquathinge/serve"
	"kumquathinge/store"
)

// parts are the tasks that a node's beat reports on. They are set once all
// are built.
type parts struct {
	sto *store.Store
	srv *serve.Server
	que *queue.Queue
	stp *stopper
}

// facts is what a node tells of itself.
type facts struct {
	base core.Heartbeat
	cur  atomic.Pointer[parts]
}

// beat returns the node's beat. Before the node is built it has only the
// node's name, zone, address and run.
func (fac *facts) beat() core.Heartbeat {
	bea := fac.base
	prt := fac.cur.Load()
	if prt == nil {
		return bea
	}
	sta := prt.sto.Status()
	bea.Applied = sta.Offset
	bea.Hash = sta.Hash
	bea.HashOffset = sta.HashAt
	bea.LogOK = sta.LogOK
	bea.Stopping = prt.stp.stopping()
	bea.InFlight = prt.stp.count()
	bea.Usage = prt.que.Usage()
	bea.Suspects = prt.srv.Suspects()
	bea.InFlightByGroup = prt.srv.InFlight()
	return bea
}

// merge takes what a peer's beat says of suspects.
func (fac *facts) merge(bea core.Heartbeat) {
	prt := fac.cur.Load()
	if prt != nil {
		prt.srv.UpdateSuspects(bea.Node, bea.Suspects)
		prt.sto.ComparePeerHash(bea.Node, bea.HashOffset, bea.Hash)
	}
}
