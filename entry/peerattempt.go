package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/site"
	"kumquathinge/io/wire"
	"kumquathinge/platform"
)

// Headers of requests that a node relays to a peer, and of responses to them.
const (
	// headerRelayVersion is the version of the configuration of the node that relays. A
	// peer with an earlier one does not take the request.
	headerRelayVersion = "Relay-Config-Version"
	// headerRelayRuns is the number of servers that may have executed the request.
	headerRelayRuns = "Relay-Runs"
	// headerRelayElsewhere is set if another peer may take the request at once.
	headerRelayElsewhere = "Relay-Elsewhere"
)

const (
	// maxPeersTried is the number of peers to which a request is sent.
	maxPeersTried = 3
	// otherZoneCost is the cost of a peer of another zone, relative to one of the own zone
	// with as many requests.
	otherZoneCost = 1.25
)

// target is where an attempt is sent: a server, or a peer that reaches servers.
type target struct {
	server *site.Server
	peer   relayPeer
}

// String returns the name of the target in logs and errors.
func (tgt target) String() string {
	if tgt.server == nil {
		return "peer " + tgt.peer.name
	}
	return tgt.server.ID
}

// relayPeer is a node that takes requests of its peers.
type relayPeer struct{ name, addr string }

// relayPeer returns a peer that reaches the servers of a call's service. It returns false
// if there is none to which the call was not sent before.
func (peers *peers) relayPeer(call *call, now time.Time) (relayPeer, bool) {
	var cands []*heartbeat
	peers.eachLive(now, func(hb *heartbeat) {
		if hb.RelayAddr != "" && !hb.Stopping && hb.ConfigVersion >= call.table.Version() && !slices.Contains(hb.LostServices, call.service.Name) && !slices.Contains(call.triedPeers, hb.Node) {
			cands = append(cands, hb)
		}
	})
	if len(cands) == 0 {
		return relayPeer{}, false
	}
	best := cands[rand.IntN(len(cands))]
	if other := cands[rand.IntN(len(cands))]; peers.relayCost(other) < peers.relayCost(best) {
		best = other
	}
	return relayPeer{name: best.Node, addr: best.RelayAddr}, true
}

func (peers *peers) relayCost(hb *heartbeat) float64 {
	if hb.Zone != peers.self.Zone {
		return otherZoneCost * (1 + hb.Arrivals)
	}
	return 1 + hb.Arrivals
}

// reachesServers reports whether a live peer reaches the servers of a service.
func (peers *peers) reachesServers(service string, now time.Time) bool {
	found := false
	peers.eachLive(now, func(hb *heartbeat) {
		found = found || hb.RelayAddr != "" && !hb.Stopping && !slices.Contains(hb.LostServices, service)
	})
	return found
}

// peerFor returns the peer to which the next attempt of a call goes, and false if it goes
// to a server. A peer does not relay a request further.
func (fwd *forwarder) peerFor(call *call) (relayPeer, bool) {
	if call.relayed || !fwd.reach.lost(call.service.Name) || len(call.triedPeers) >= maxPeersTried {
		return relayPeer{}, false
	}
	return fwd.peers.relayPeer(call, time.Now())
}

// hasPeer reports whether the next attempt of a call can go to a peer.
func (fwd *forwarder) hasPeer(call *call) bool {
	_, ok := fwd.peerFor(call)
	return ok
}

// grantPeer reserves a retry for a call if a peer can take it after its attempt is ended.
func (fwd *forwarder) grantPeer(call *call, now time.Time) bool {
	if call.relayed || call.peerGranted.Load() || !fwd.reach.lost(call.service.Name) || int(call.possibleRuns.Load())+1 >= fwd.maxAttempts(call) {
		return false
	}
	if !fwd.peers.reachesServers(call.service.Name, now) || !fwd.loads.allowRetry(call.service.Name, now) {
		return false
	}
	call.peerGranted.Store(true)
	return true
}

// tryPeer relays the request to a peer, which chooses servers for it and retries it, and
// reads the header of the response.
func (fwd *forwarder) tryPeer(call *call, peer relayPeer) (outcome, *attempt, error) {
	now := time.Now()
	left := call.timeLeft(now)
	call.triedPeers = append(call.triedPeers, peer.name)
	if left <= 0 {
		return outcomeNotRun, nil, errDeadlinePassed
	}
	fwd.log.WithFields(logrus.Fields{"event": "relayed", "request": call.id, "peer": peer.name, "left": left, "after_event": call.lastEventID}).Info("request relayed to a peer that reaches the servers")
	req := call.peerRequest(left)
	defer fasthttp.ReleaseRequest(req)
	ctx, cancel := context.WithCancelCause(call.ctx)
	call.server.Store(nil)
	call.attemptEvents.Store(0)
	call.attemptProved.Store(false)
	call.abortedBy.Store(nil)
	call.recordProgress(now)
	call.cancelAttempt.Store(&cancel)
	body, err := fwd.peerPools.Get(peer.addr).Open(ctx, wire.Exchange{
		Req: req, IOTimeout: left + deadlineSlack, EchoHeader: platform.HeaderAttemptID, EchoValue: call.id,
	})
	if err != nil {
		err = attemptError(ctx, call, err, time.Now())
		cancel(nil)
		call.cancelAttempt.Store(nil)
		if core.CodeOf(err) == core.CodeDialFailed {
			return outcomeNotRun, nil, err
		}
		return outcomeUnknown, nil, err
	}
	attempt := &attempt{target: target{peer: peer}, body: body, cancel: cancel, forwarder: fwd, call: call, sentAt: now, answeredAt: time.Now()}
	out, err := classifyPeerResponse(call, attempt)
	if out != outcomeAnswered {
		attempt.close()
	}
	return out, attempt, err
}

// peerRequest returns the request that is relayed to a peer. Its body is that of the call.
func (call *call) peerRequest(left time.Duration) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	call.request.Header.CopyTo(&req.Header)
	req.Header.SetNoDefaultContentType(true)
	if call.apiKey != "" {
		req.Header.Set(platform.HeaderAPIKey, call.apiKey)
	}
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set(headerRelayVersion, strconv.FormatInt(call.table.Version(), 10))
	req.Header.Set(headerRelayRuns, strconv.Itoa(int(call.possibleRuns.Load())))
	if call.lastEventID != "" {
		req.Header.Set(platform.HeaderLastEventID, call.lastEventID)
	}
	req.SetBodyRaw(call.request.Body())
	return req
}

// classifyPeerResponse determines the outcome of an attempt at a peer. Responses of servers
// are passed on, and so is what the peer says of the request itself.
func classifyPeerResponse(call *call, attempt *attempt) (outcome, error) {
	body, status := attempt.body, attempt.body.Status()
	if len(body.Header(platform.HeaderResponseStamp)) > 0 || status < fasthttp.StatusInternalServerError {
		return outcomeAnswered, nil
	}
	cause := core.Errorf(core.CodeRefused, "status %d from %v", status, attempt.target)
	switch {
	case status == fasthttp.StatusServiceUnavailable && len(body.Header(headerRelayElsewhere)) > 0:
		return outcomeNotRun, cause
	case status == fasthttp.StatusServiceUnavailable:
		call.refusedByPeer = true
		call.peerRetryAfter, _ = platform.DecodePause(string(body.Header(fasthttp.HeaderRetryAfter)))
		return outcomeNotRun, cause
	case status == fasthttp.StatusGatewayTimeout:
		return outcomeUnknown, errDeadlinePassed
	}
	return outcomeUnknown, core.Errorf(core.CodeUnknownOutcome, "status %d from %v", status, attempt.target)
}

// endedAtPeer reports whether a call whose attempt at a peer had the outcome is not sent to
// another one: the peer refused it, or may have sent it to as many servers as allowed.
func (call *call) endedAtPeer(out outcome) bool {
	return call.refusedByPeer || out == outcomeUnknown
}

// relayRuns returns how many servers may have executed a relayed request.
func relayRuns(hdr *fasthttp.RequestHeader) int32 {
	num, err := strconv.ParseInt(string(hdr.Peek(headerRelayRuns)), 10, 32)
	if err != nil {
		return 0
	}
	return int32(max(0, num))
}

// checkRelayVersion rejects a relayed request if this node has an earlier configuration
// than the node that relayed it.
func checkRelayVersion(hdr *fasthttp.RequestHeader, table *site.Table) error {
	version, err := strconv.ParseInt(string(hdr.Peek(headerRelayVersion)), 10, 64)
	if err == nil && version > table.Version() {
		return core.Errorf(core.CodeNotReady, "the configuration of the peer, version %d, is newer", version)
	}
	return nil
}
