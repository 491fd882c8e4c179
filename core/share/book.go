package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// peerTimeout is the age at which the counts of a peer are no longer used:
	// several of its reports are missing then.
	peerTimeout = 1200 * time.Millisecond
	// maxMissedReports is the number of reports that a peer which reports seldom
	// may miss before its counts are no longer used.
	maxMissedReports = 3
	// failureBackoff is the first time for which a server that failed gets no
	// requests while others have room. It doubles with each failure in a row.
	failureBackoff = 500 * time.Millisecond
	// stallTimeout is the time after which a server that runs requests and
	// sends nothing is used only if all others are full.
	stallTimeout = 300 * time.Millisecond
	// minLostTime is the time for which the orderer's word of a lost server
	// holds; it repeats it several times within.
	minLostTime = 500 * time.Millisecond
	// maxFailureBackoff bounds the pause.
	maxFailureBackoff = 4 * time.Second
)

// serverStats is what runs at one server from this node, and how it went.
type serverStats struct {
	running int
	// waitingTokens is the number of prompt tokens of requests that have not begun.
	waitingTokens       int
	lastProgressAt      time.Time
	consecutiveFailures int
	avoidUntil          time.Time
	// meanGap is the mean time between events of streams, over samples, of the
	// model.
	meanGap    time.Duration
	gapSamples int
	model      string
}

// peerReport is what another node runs, known until a time.
type peerReport struct {
	expiresAt    time.Time
	loadByServer map[string]Load
}

// Load is what one node has at a server.
type Load struct {
	// Running is the number of requests, Waiting that of the prompt tokens of
	// those that have not begun.
	Running       int `cbor:"1,keyasint"`
	WaitingTokens int `cbor:"2,keyasint"`
}

// Utilisation returns the part of a batch of the size that the requests take. Prompts
// that wait count as well, and the part exceeds one where too many do.
func (load Load) Utilisation(size int) float64 {
	return float64(load.Running)/float64(max(1, size)) + float64(load.WaitingTokens)/tokensPerBatch
}

// Balancer counts the requests at the backend servers.
type Balancer struct {
	zone          string
	statsByServer map[string]*serverStats
	peers         map[string]peerReport
	// peerLoadByServer is the sum of the peers' counts by server, due the time at which
	// the first of them ends.
	peerLoadByServer map[string]Load
	nextPeerExpiry   time.Time
	// lostUntil are the servers that get no requests, until a time.
	lostUntil  map[string]time.Time
	scanOffset int
}

// NewBalancer returns a Book of a node in the zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{zone: zone, statsByServer: map[string]*serverStats{}, peers: map[string]peerReport{}, peerLoadByServer: map[string]Load{}, lostUntil: map[string]time.Time{}}
}

func (bal *Balancer) statsOf(id string) *serverStats {
	stats := bal.statsByServer[id]
	if stats == nil {
		stats = &serverStats{}
		bal.statsByServer[id] = stats
	}
	return stats
}

// RequestSent counts a request that is sent to the server.
func (bal *Balancer) RequestSent(id string, prompt int, now time.Time) {
	stats := bal.statsOf(id)
	if stats.running == 0 {
		stats.lastProgressAt = now
	}
	stats.running++
	stats.waitingTokens += prompt
}

// RequestStarted notes that the server runs a request of so many prompt tokens.
func (bal *Balancer) RequestStarted(id string, prompt int) {
	stats := bal.statsOf(id)
	stats.waitingTokens -= prompt
}

// RequestEnded counts the end of a request; waiting are its prompt tokens if it has not
// begun.
func (bal *Balancer) RequestEnded(id string, waiting int) {
	stats := bal.statsOf(id)
	stats.waitingTokens -= waiting
	stats.running--
	if stats.running <= 0 && stats.consecutiveFailures == 0 {
		delete(bal.statsByServer, id)
	}
}

// RecordProgress notes that the server sent something.
func (bal *Balancer) RecordProgress(id string, now time.Time) {
	stats := bal.statsOf(id)
	stats.lastProgressAt = now
	stats.consecutiveFailures = 0
	stats.avoidUntil = time.Time{}
}

// RecordFailure notes that a request failed at the server.
func (bal *Balancer) RecordFailure(id string, now time.Time) {
	stats := bal.statsOf(id)
	backoff := min(failureBackoff<<min(stats.consecutiveFailures, 8), maxFailureBackoff)
	stats.consecutiveFailures++
	stats.avoidUntil = now.Add(backoff)
}

// MarkLost notes that the orderer takes the server as lost: it gets no requests
// until the orderer, which says so again within every, has stopped saying so.
func (bal *Balancer) MarkLost(id string, interval time.Duration, now time.Time) {
	bal.lostUntil[id] = now.Add(max(minLostTime, maxMissedReports*interval))
}

// UpdatePeer replaces the counts of another node, which come again within every.
func (bal *Balancer) UpdatePeer(node string, loads map[string]Load, interval time.Duration, now time.Time) {
	bal.removePeer(node)
	until := now.Add(max(peerTimeout, maxMissedReports*interval))
	if len(bal.peers) == 0 || until.Before(bal.nextPeerExpiry) {
		bal.nextPeerExpiry = until
	}
	bal.peers[node] = peerReport{expiresAt: until, loadByServer: loads}
	for id, load := range loads {
		sum := bal.peerLoadByServer[id]
		bal.peerLoadByServer[id] = Load{Running: sum.Running + load.Running, WaitingTokens: sum.WaitingTokens + load.WaitingTokens}
	}
}

// removePeer forgets the counts of a peer.
func (bal *Balancer) removePeer(node string) {
	for id, load := range bal.peers[node].loadByServer {
		sum := bal.peerLoadByServer[id]
		sum = Load{Running: sum.Running - load.Running, WaitingTokens: sum.WaitingTokens - load.WaitingTokens}
		if sum == (Load{}) {
			delete(bal.peerLoadByServer, id)
		} else {
			bal.peerLoadByServer[id] = sum
		}
	}
	delete(bal.peers, node)
}

// expirePeers forgets the counts of peers that have fallen silent.
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

// LocalLoads returns what this node has at servers.
func (bal *Balancer) LocalLoads() map[string]Load {
	out := make(map[string]Load, len(bal.statsByServer))
	for id, stats := range bal.statsByServer {
		if stats.running > 0 {
			out[id] = Load{Running: stats.running, WaitingTokens: stats.waitingTokens}
		}
	}
	return out
}

// Load returns what all nodes that were heard lately have at the server.
func (bal *Balancer) Load(id string, now time.Time) Load {
	bal.expirePeers(now)
	sum := bal.peerLoadByServer[id]
	if stats := bal.statsByServer[id]; stats != nil {
		sum.Running += stats.running
		sum.WaitingTokens += stats.waitingTokens
	}
	return sum
}

// StalledServers returns the servers that run requests of this node and have sent
// nothing for the bound.
func (bal *Balancer) StalledServers(timeout time.Duration, now time.Time) []string {
	var out []string
	for id, stats := range bal.statsByServer {
		if stats.running > 0 && now.Sub(stats.lastProgressAt) > timeout {
			out = append(out, id)
		}
	}
	return out
}

const (
	// gapSmoothing is the weight of one more time between events in the mean.
	gapSmoothing = 0.1
	// minGapSamples is the number of events after which a mean is used.
	minGapSamples = 8
	// slowFactor is how many times the median of its model a server's mean
	// must be to be taken as slow: batches differ by less than two times.
	slowFactor = 2.5
)

// RecordEventGap notes the time between two events of a stream of the model.
func (bal *Balancer) RecordEventGap(id, model string, gap time.Duration) {
	stats := bal.statsOf(id)
	stats.model = model
	stats.gapSamples++
	if stats.gapSamples == 1 {
		stats.meanGap = gap
		return
	}
	stats.meanGap += time.Duration(gapSmoothing * float64(gap-stats.meanGap))
}

// SlowServers returns the servers whose streams run far slower than those of the
// other servers of their model.
func (bal *Balancer) SlowServers() []string {
	gaps := map[string][]time.Duration{}
	for _, stats := range bal.statsByServer {
		if stats.gapSamples >= minGapSamples && stats.running > 0 {
			gaps[stats.model] = append(gaps[stats.model], stats.meanGap)
		}
	}
	for _, all := range gaps {
		slices.Sort(all)
	}
	var out []string
	for id, stats := range bal.statsByServer {
		all := gaps[stats.model]
		if stats.gapSamples >= minGapSamples && stats.running > 0 && float64(stats.meanGap) > slowFactor*float64(all[(len(all)-1)/2]) {
			out = append(out, id)
		}
	}
	return out
}

// TimeSinceProgress returns the time for which a server that runs requests of this
// node has sent nothing.
func (bal *Balancer) TimeSinceProgress(id string, now time.Time) time.Duration {
	stats := bal.statsByServer[id]
	if stats == nil || stats.running == 0 {
		return 0
	}
	return now.Sub(stats.lastProgressAt)
}

// Choice is a server for a request, and how loaded it is.
type Choice struct {
	Server *site.Server
	Load   Load
}

// Choose returns the least loaded of the servers, with room for one more
// within limit requests, that isn't among the excluded ones. A server that
// failed lately comes last. It returns no server if all are full.
//
// Where many nodes choose by counts that are a report old, they would all
// choose the same server; each then looks at two drawn at random first.
func (bal *Balancer) Choose(srvs []*site.Server, capacity func(*site.Server) int, excluded []string, now time.Time) Choice {
	if len(bal.peers)+1 > maxFullScanNodes && len(srvs) > sampleSize {
		choice, cost := bal.leastLoaded(bal.sampleServers(srvs), capacity, excluded, now)
		if choice.Server != nil && cost < avoidCost {
			return choice
		}
	}
	bal.scanOffset++
	choice, _ := bal.leastLoaded(srvs, capacity, excluded, now)
	return choice
}

const (
	// maxFullScanNodes is the number of nodes up to which each takes the best server.
	maxFullScanNodes = 6
	// sampleSize is the number of servers that are looked at by one of many
	// nodes: two are enough to even out the load.
	sampleSize = 2
)

// sampleServers draws servers.
func (bal *Balancer) sampleServers(srvs []*site.Server) []*site.Server {
	one := rand.IntN(len(srvs))
	two := rand.IntN(len(srvs) - 1)
	if two >= one {
		two++
	}
	return []*site.Server{srvs[one], srvs[two]}
}

// leastLoaded returns the server of the lowest cost and the cost.
func (bal *Balancer) leastLoaded(srvs []*site.Server, capacity func(*site.Server) int, excluded []string, now time.Time) (Choice, float64) {
	var best Choice
	bestCost := 0.0
	for pos := range srvs {
		srv := srvs[(pos+bal.scanOffset)%len(srvs)]
		if slices.Contains(excluded, srv.ID) || now.Before(bal.lostUntil[srv.ID]) {
			continue
		}
		load := bal.Load(srv.ID, now)
		limit := capacity(srv)
		if load.Running >= limit {
			continue
		}
		cost := load.Utilisation(limit)
		if srv.Zone != bal.zone {
			cost += crossZoneCost
		}
		if stats := bal.statsByServer[srv.ID]; stats != nil && (now.Before(stats.avoidUntil) || stats.running > 0 && now.Sub(stats.lastProgressAt) > stallTimeout) {
			cost += avoidCost
		}
		if best.Server == nil || cost < bestCost {
			best, bestCost = Choice{Server: srv, Load: load}, cost
		}
	}
	return best, bestCost
}

// Costs of a choice, as parts of a server's capacity.
const (
	// crossZoneCost is what the way to another zone counts for.
	crossZoneCost = 0.04
	// tokensPerBatch is the number of waiting prompt tokens that count as much
	// as a whole batch: reading them takes about as long as a first event may.
	tokensPerBatch = 12000.0
	// avoidCost puts a server that failed behind each that didn't.
	avoidCost = 10.0
)
