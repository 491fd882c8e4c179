package node

import (
	"sync/atomic"

	"kumquathinge/core"
	"kumquathinge/queue"
	"kumquathinge/serve"
	"kumquathinge/store"
)

// heartbeatParts are the parts of the node whose state goes into its
// heartbeat. They are set once all are built.
type heartbeatParts struct {
	store   *store.Store
	server  *serve.Server
	queue   *queue.Queue
	tracker *drainTracker
}

// heartbeatSource builds the node's own heartbeat.
type heartbeatSource struct {
	base  core.Heartbeat
	parts atomic.Pointer[heartbeatParts]
}

// heartbeat returns the node's heartbeat. Until the node is built it has only
// the node's name, zone, address and incarnation.
func (source *heartbeatSource) heartbeat() core.Heartbeat {
	hb := source.base
	parts := source.parts.Load()
	if parts == nil {
		return hb
	}
	status := parts.store.Status()
	hb.Applied = status.Offset
	hb.Hash = status.Hash
	hb.HashOffset = status.HashOffset
	hb.Era = status.Era
	hb.LogOK = status.LogOK
	hb.Stopping = parts.tracker.stopping()
	hb.InFlight = parts.tracker.inFlight()
	hb.Usage = parts.queue.Usage()
	hb.Suspects = parts.server.Suspects()
	hb.InFlightByGroup = parts.server.InFlight()
	return hb
}

// merge passes the suspects and the state hash of a peer's heartbeat on.
func (source *heartbeatSource) merge(hb core.Heartbeat) {
	parts := source.parts.Load()
	if parts != nil {
		parts.server.UpdateSuspects(hb.Node, hb.Suspects)
		parts.store.ComparePeerHash(hb.Node, hb.HashPosition(), hb.Hash)
	}
}
