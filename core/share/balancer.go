package share

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// peerTimeout is the minimum age at which a peer's report expires. Several
	// reports are missing by then.
	peerTimeout = 1200 * time.Millisecond
	// maxMissedReports is the number of reports that a peer with a long reporting
	// interval may miss before its last one expires.
	maxMissedReports = 3
	// failureBackoff is the initial time for which a failed server is used only
	// if the others are full. It doubles with each consecutive failure.
	failureBackoff = 500 * time.Millisecond
	// stallTimeout is the time without progress after which a server that runs
	// requests is used only if the others are full.
	stallTimeout = 300 * time.Millisecond
	// minLostTime is the minimum time for which a server that the orderer
	// reports as lost receives no requests. The orderer repeats its report
	// several times within it.
	minLostTime       = 500 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
)

// serverStats holds this node's requests at one server and their progress.
type serverStats struct {
	running int
	// waitingTokens is the number of prompt tokens in requests that haven't
	// started.
	waitingTokens int
	// pinned is the number of requests that may neither be repeated nor resumed.
	pinned int
	// lastProgressAt is when the server last sent data, or when the first request
	// was sent to it. progressed is set if it has sent data.
	lastProgressAt      time.Time
	progressed          bool
	consecutiveFailures int
	avoidUntil          time.Time
}

// load returns the load that this node causes at the server.
func (stats *serverStats) load() Load {
	return Load{Running: stats.running, WaitingTokens: stats.waitingTokens, Pinned: stats.pinned}
}

// peerReport is the load caused by another node, valid until expiresAt.
type peerReport struct {
	expiresAt    time.Time
	loadByServer map[string]Load
}

// Load counts the requests that one or more nodes have at a server.
type Load struct {
	// Running is the number of requests sent, WaitingTokens the number of prompt
	// tokens in those that haven't started.
	Running       int `cbor:"1,keyasint"`
	WaitingTokens int `cbor:"2,keyasint"`
	// Pinned is the number of requests that may neither be repeated nor resumed.
	Pinned int `cbor:"3,keyasint,omitempty"`
}

// plus returns the sum of two loads, minus their difference.
func (load Load) plus(other Load) Load {
	return Load{Running: load.Running + other.Running, WaitingTokens: load.WaitingTokens + other.WaitingTokens, Pinned: load.Pinned + other.Pinned}
}

func (load Load) minus(other Load) Load {
	return load.plus(Load{Running: -other.Running, WaitingTokens: -other.WaitingTokens, Pinned: -other.Pinned})
}

// Utilisation returns the fraction of a batch of the given size that the
// requests occupy. Waiting prompts count as well, so the result can exceed 1.
func (load Load) Utilisation(size int) float64 {
	return float64(load.Running)/float64(max(1, size)) + float64(load.WaitingTokens)/tokensPerBatch
}

// Balancer tracks the load of the backend servers and chooses servers for
// requests.
type Balancer struct {
	zone          string
	statsByServer map[string]*serverStats
	peers         map[string]peerReport
	// peerLoadByServer is the sum over all peers. nextPeerExpiry is the time at
	// which the first of their reports expires.
	peerLoadByServer map[string]Load
	nextPeerExpiry   time.Time
	// lostUntil maps a lost server to the time until which it receives no
	// requests.
	lostUntil map[string]time.Time
	// peerProgressAt maps a server to the time at which a peer last reported that
	// it sends data, for servers reported since peerProgressBegin.
	peerProgressAt    map[string]time.Time
	peerProgressBegin time.Time
	zones             zoneContacts
	limits            serverLimits
	// pauses holds the pauses that servers asked this node for, by ID.
	pauses     map[string]pause
	scanOffset int
	// candidates is the buffer of draw.
	candidates []candidate
	limiters   []site.SendLimiter
	estimators []site.CapacityEstimator
	// speeds is nil if the speed of servers is not known.
	speeds site.SpeedEstimator
	// drawn reports whether servers may be drawn, nil if they always may.
	drawn func() bool
}

// NewBalancer returns a Balancer for a node in the zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{zone: zone, statsByServer: map[string]*serverStats{}, peers: map[string]peerReport{}, peerLoadByServer: map[string]Load{}, lostUntil: map[string]time.Time{}, peerProgressAt: map[string]time.Time{}, zones: newZoneContacts(), limits: newServerLimits(), pauses: map[string]pause{}}
}

// AddLimiter adds a limit that the choice of a server observes.
func (bal *Balancer) AddLimiter(lim site.SendLimiter) { bal.limiters = append(bal.limiters, lim) }

// AddEstimator adds an estimate of what servers can take.
func (bal *Balancer) AddEstimator(est site.CapacityEstimator) {
	bal.estimators = append(bal.estimators, est)
}

// SetSpeeds sets the estimate of the speed of servers.
func (bal *Balancer) SetSpeeds(speeds site.SpeedEstimator) { bal.speeds = speeds }

// SetDrawn sets when a node with many peers, in a zone with few servers, draws servers by
// their capacity instead of comparing a few. Without it the node always does so.
func (bal *Balancer) SetDrawn(drawn func() bool) { bal.drawn = drawn }

// Speed returns the speed of a server relative to the others of its model or service, in
// (0, 1].
func (bal *Balancer) Speed(srv *site.Server) float64 {
	if bal.speeds == nil {
		return 1
	}
	return bal.speeds.Speed(srv)
}

// Fraction returns the fraction of its published capacity that a server can take now, in
// (0, 1]: the lowest of all estimates.
func (bal *Balancer) Fraction(srv *site.Server, now time.Time) float64 {
	out := 1.0
	for _, est := range bal.estimators {
		out = min(out, est.Fraction(srv, now))
	}
	return out
}

// allows reports whether all limits allow a request to the server now.
func (bal *Balancer) allows(srv *site.Server, now time.Time) bool {
	for _, lim := range bal.limiters {
		if !lim.Allows(srv, now) {
			return false
		}
	}
	return true
}

func (bal *Balancer) statsOf(id string) *serverStats {
	stats := bal.statsByServer[id]
	if stats == nil {
		stats = &serverStats{}
		bal.statsByServer[id] = stats
	}
	return stats
}

// RequestSent records a request with the given number of prompt tokens that is
// sent to the server.
func (bal *Balancer) RequestSent(id string, prompt int, now time.Time) {
	stats := bal.statsOf(id)
	if stats.running == 0 {
		stats.lastProgressAt, stats.progressed = now, false
	}
	stats.running++
	stats.waitingTokens += prompt
	bal.limits.take(id, now)
	for _, lim := range bal.limiters {
		lim.RecordSent(id, now)
	}
}

// Pin records that a request at the server may neither be repeated nor resumed.
func (bal *Balancer) Pin(id string) { bal.statsOf(id).pinned++ }

// Unpin records the end of a request that was recorded by Pin. It precedes RequestEnded.
func (bal *Balancer) Unpin(id string) { bal.statsOf(id).pinned-- }

// RequestStarted records that the server has started a request. Its prompt
// tokens no longer count as waiting.
func (bal *Balancer) RequestStarted(id string, prompt int) {
	stats := bal.statsOf(id)
	stats.waitingTokens -= prompt
}

// RequestEnded records the end of a request. waiting is the number of its
// prompt tokens if it never started, and zero otherwise.
func (bal *Balancer) RequestEnded(id string, waiting int) {
	stats := bal.statsOf(id)
	stats.waitingTokens -= waiting
	stats.running--
	if stats.running <= 0 && stats.consecutiveFailures == 0 {
		delete(bal.statsByServer, id)
	}
}

// RecordProgress records that the server sent data.
func (bal *Balancer) RecordProgress(id string, now time.Time) {
	stats := bal.statsOf(id)
	stats.lastProgressAt, stats.progressed = now, true
	stats.consecutiveFailures = 0
	stats.avoidUntil = time.Time{}
}

// RecordFailure records that a request failed on the server.
func (bal *Balancer) RecordFailure(id string, now time.Time) {
	stats := bal.statsOf(id)
	backoff := min(failureBackoff<<min(stats.consecutiveFailures, 8), maxFailureBackoff)
	stats.consecutiveFailures++
	stats.avoidUntil = now.Add(backoff)
}

// MarkLost records that the orderer considers the server lost. The server
// receives no requests until the reports of the orderer, which repeat at the
// given interval, stop.
func (bal *Balancer) MarkLost(id string, interval time.Duration, now time.Time) {
	bal.lostUntil[id] = now.Add(max(minLostTime, maxMissedReports*interval))
}

// LostUntil returns the time until which a server receives no requests because the
// orderer reported it as lost, zero if it never did.
func (bal *Balancer) LostUntil(id string) time.Time { return bal.lostUntil[id] }

// UpdatePeer replaces the load reported by another node. The next report is
// expected within interval.
func (bal *Balancer) UpdatePeer(node string, loads map[string]Load, interval time.Duration, now time.Time) {
	bal.removePeer(node)
	until := now.Add(max(peerTimeout, maxMissedReports*interval))
	if len(bal.peers) == 0 || until.Before(bal.nextPeerExpiry) {
		bal.nextPeerExpiry = until
	}
	bal.peers[node] = peerReport{expiresAt: until, loadByServer: loads}
	for id, load := range loads {
		bal.peerLoadByServer[id] = bal.peerLoadByServer[id].plus(load)
	}
}

// removePeer removes the load of a peer.
func (bal *Balancer) removePeer(node string) {
	for id, load := range bal.peers[node].loadByServer {
		sum := bal.peerLoadByServer[id].minus(load)
		if sum == (Load{}) {
			delete(bal.peerLoadByServer, id)
		} else {
			bal.peerLoadByServer[id] = sum
		}
	}
	delete(bal.peers, node)
}

// expirePeers removes the load of peers whose reports have expired.
func (bal *Balancer) expirePeers(now time.Time) {
	if len(bal.peers) == 0 || now.Before(bal.nextPeerExpiry) {
		return
	}
	bal.nextPeerExpiry = time.Time{}
	for name, report := range bal.peers {
		switch {
		case !now.Before(report.expiresAt):
			bal.removePeer(name)
		case bal.nextPeerExpiry.IsZero() || report.expiresAt.Before(bal.nextPeerExpiry):
			bal.nextPeerExpiry = report.expiresAt
		}
	}
}

// LocalLoads returns the load caused by this node, by server.
func (bal *Balancer) LocalLoads() map[string]Load {
	out := make(map[string]Load, len(bal.statsByServer))
	for id, stats := range bal.statsByServer {
		if stats.running > 0 {
			out[id] = stats.load()
		}
	}
	return out
}

// Load returns the load of the server caused by this node and by all peers with
// a current report.
func (bal *Balancer) Load(id string, now time.Time) Load {
	bal.expirePeers(now)
	sum := bal.peerLoadByServer[id]
	if stats := bal.statsByServer[id]; stats != nil {
		sum = sum.plus(stats.load())
	}
	return sum
}

// peerProgressRetention is the time after which reports of progress are
// discarded.
const peerProgressRetention = 10 * time.Second

// RecordPeerProgress records that a peer reported servers from which it has
// received data just now.
func (bal *Balancer) RecordPeerProgress(ids []string, now time.Time) {
	if now.Sub(bal.peerProgressBegin) > peerProgressRetention {
		maps.DeleteFunc(bal.peerProgressAt, func(_ string, at time.Time) bool { return now.Sub(at) > peerProgressRetention })
		bal.peerProgressBegin = now
	}
	for _, id := range ids {
		bal.peerProgressAt[id] = now
	}
}

// ActiveServers returns the IDs of the servers that sent data to this node since
// the time.
func (bal *Balancer) ActiveServers(since time.Time) []string {
	var out []string
	for id, stats := range bal.statsByServer {
		if stats.progressed && !stats.lastProgressAt.Before(since) {
			out = append(out, id)
		}
	}
	return out
}

// LastActive returns when a server last sent data to this node or, as far as a
// peer reported it, to another one, zero if that is unknown.
func (bal *Balancer) LastActive(id string) time.Time {
	last := bal.peerProgressAt[id]
	if stats := bal.statsByServer[id]; stats != nil && stats.progressed && stats.lastProgressAt.After(last) {
		last = stats.lastProgressAt
	}
	return last
}

// lastProgress returns when the server last sent data to this node or a peer, or
// when this node's first request was sent to it. A server that other nodes
// receive data from is busy, not lost.
func (bal *Balancer) lastProgress(id string, stats *serverStats) time.Time {
	if at := bal.peerProgressAt[id]; at.After(stats.lastProgressAt) {
		return at
	}
	return stats.lastProgressAt
}

// StalledServers returns the IDs of the servers that run requests of this node
// and have sent nothing for longer than timeout.
func (bal *Balancer) StalledServers(timeout time.Duration, now time.Time) []string {
	var out []string
	for id, stats := range bal.statsByServer {
		if stats.running > 0 && now.Sub(bal.lastProgress(id, stats)) > timeout {
			out = append(out, id)
		}
	}
	return out
}

// TimeSinceProgress returns how long a server that runs requests of this node
// has sent nothing to any node, and zero if it runs none.
func (bal *Balancer) TimeSinceProgress(id string, now time.Time) time.Duration {
	stats := bal.statsByServer[id]
	if stats == nil || stats.running == 0 {
		return 0
	}
	return now.Sub(bal.lastProgress(id, stats))
}

// Choice is the server chosen for a request and its load.
type Choice struct {
	Server *site.Server
	Load   Load
}

// Choose returns the least loaded server that runs fewer requests than its
// capacity, isn't excluded, has not asked for a pause, and has named no limit that this
// node has used up. Servers that failed recently come last. The choice has no server
// if all are full or in zones that can't be reached.
//
// With many nodes, all of which see loads that are one report old, all would choose the
// same server. Each then compares a few random ones first, or draws from all zones if its
// own has few servers.
func (bal *Balancer) Choose(srvs []*site.Server, capacity func(*site.Server) int, excluded []string, now time.Time) Choice {
	if len(bal.peers)+1 > maxFullScanNodes {
		compare := bal.sample
		if bal.fewLocal(srvs) && (bal.drawn == nil || bal.drawn()) {
			compare = bal.draw
		}
		if choice := compare(srvs, capacity, excluded, now); choice.Server != nil {
			return choice
		}
	}
	bal.scanOffset++
	return bal.leastLoaded(srvs, capacity, excluded, now).Choice
}

// maxFullScanNodes is the number of nodes up to which each takes the least loaded
// server.
const maxFullScanNodes = 6

// leastLoaded returns the server with the lowest cost, its zone included.
func (bal *Balancer) leastLoaded(srvs []*site.Server, capacity func(*site.Server) int, excluded []string, now time.Time) candidate {
	var best candidate
	uneven := bal.uneven(srvs)
	for pos := range srvs {
		srv := srvs[(pos+bal.scanOffset)%len(srvs)]
		cand, ok := bal.candidate(srv, capacity, excluded, now)
		if !ok {
			continue
		}
		if srv.Zone != bal.zone {
			cand.cost += crossZoneCost
		}
		if uneven {
			// The lowest of exponential random numbers selects servers with equal
			// loads in proportion to their rates.
			cand.cost += rand.ExpFloat64() / cand.rate
		}
		if best.Server == nil || cand.cost < best.cost {
			best = cand
		}
	}
	return best
}

// uneven reports whether some of the servers are known to be slower than others.
func (bal *Balancer) uneven(srvs []*site.Server) bool {
	return slices.ContainsFunc(srvs, func(srv *site.Server) bool { return bal.Speed(srv) < 1 })
}

// candidate returns a server with its limit and its cost, apart from its zone, and
// whether it may take a request.
func (bal *Balancer) candidate(srv *site.Server, capacity func(*site.Server) int, excluded []string, now time.Time) (candidate, bool) {
	out := candidate{Choice: Choice{Server: srv}}
	if slices.Contains(excluded, srv.ID) || now.Before(bal.lostUntil[srv.ID]) || bal.zones.unreachable(srv.Zone, now) {
		return out, false
	}
	if bal.pauseLeft(srv, now) > 0 || !bal.limits.allows(srv.ID, srv.StartMillis, now) || !bal.allows(srv, now) {
		return out, false
	}
	out.Load = bal.Load(srv.ID, now)
	published := capacity(srv)
	// An estimate leaves room for a request, so that a recovery is noticed.
	out.limit = min(published, max(1, int(math.Round(bal.Fraction(srv, now)*float64(published)))))
	if out.Load.Running >= out.limit {
		return out, false
	}
	out.rate = bal.Speed(srv) * float64(out.limit)
	out.cost = out.Load.Utilisation(out.limit)
	if stats := bal.statsByServer[srv.ID]; stats != nil && (now.Before(stats.avoidUntil) || stats.running > 0 && now.Sub(bal.lastProgress(srv.ID, stats)) > stallTimeout) {
		out.cost += avoidCost
	}
	return out, true
}

// Costs of a choice, as fractions of a server's capacity.
const (
	// crossZoneCost is the cost of sending a request to another zone.
	crossZoneCost = 0.04
	// tokensPerBatch is the number of waiting prompt tokens that cost as much as
	// a full batch. Processing them takes about as long as the target time to
	// the first event.
	tokensPerBatch = 12000.0
	// avoidCost ranks servers that failed or stalled after all others.
	avoidCost = 10.0
)
