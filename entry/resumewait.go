package entry

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
)

const (
	// maxResumeWait is the longest time for which a stream in progress waits for a server
	// to go on at. Within it a closed group opens again with other members, and a node
	// that was frozen no longer counts all servers as cold.
	maxResumeWait = 2 * time.Second
	// resumeWaitInterval is the interval at which a waiting stream looks for a server.
	resumeWaitInterval = 20 * time.Millisecond
)

// awaitResume waits until a server has a place for a call whose stream has begun, or a peer
// can take it, and reports whether there is one. A head that the call was sent to before
// counts again if its group was formed anew since.
func (fwd *forwarder) awaitResume(call *call, cause error) bool {
	if call.response.Load() != responseBegun || call.possibleRuns.Load() == 0 || call.resumeWait >= maxResumeWait {
		return false
	}
	begin, found := time.Now(), false
	for !found && call.ctx.Err() == nil && call.resumeWait+time.Since(begin) < maxResumeWait {
		sleep(call.ctx, resumeWaitInterval)
		fwd.forgetReformed(call)
		found = fwd.hasPeer(call) || fwd.hasPlace(call, time.Now())
	}
	call.resumeWait += time.Since(begin)
	fwd.log.WithFields(logrus.Fields{
		"event": "resume_waited", "request": call.id, "took": time.Since(begin), "found": found, "left": call.timeLeft(time.Now()), "error": cause,
	}).Info("stream waited for a server to go on at")
	return found && call.ctx.Err() == nil
}

// forgetReformed removes the servers from those that a call was sent to that belong to
// another epoch of a group now.
func (fwd *forwarder) forgetReformed(call *call) {
	view := fwd.state.view.Load()
	left := slices.DeleteFunc(slices.Clone(call.tried()), func(id string) bool {
		srv := view.Server(id)
		return srv != nil && srv.Group.Epoch != call.triedEpochs[id]
	})
	call.triedServers.Store(&left)
}

// hasPlace reports whether any server that can serve a call, and that it was not sent to,
// has a place for it.
func (fwd *forwarder) hasPlace(call *call, now time.Time) bool {
	srvs, found := fwd.candidates(call), false
	fwd.loads.withLock(func(balancer *share.Balancer) {
		found = balancer.Choose(srvs, call.requestLimit, call.tried(), now).Server != nil
	})
	return found
}

// finalRun reports whether the current attempt of a call at a model server is its last.
func (fwd *forwarder) finalRun(call *call) bool {
	return call.service.Engine != nil && int(call.possibleRuns.Load())+1 >= fwd.maxAttempts(call)
}

// pin counts a call as one that can't go on at another server than the one with the ID.
// The caller holds the mutex of loads.
func (fwd *forwarder) pin(balancer *share.Balancer, call *call, id string) {
	if call.pinnedTo == "" && fwd.finalRun(call) {
		call.pinnedTo = id
		balancer.Pin(id)
	}
}

// unpin ends what pin began, if the call is pinned to the server. The caller holds the
// mutex of loads.
func (fwd *forwarder) unpin(balancer *share.Balancer, call *call, id string) {
	if call.pinnedTo == id && id != "" {
		call.pinnedTo = ""
		balancer.Unpin(id)
	}
}
