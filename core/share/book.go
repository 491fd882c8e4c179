package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/core/site"
)

const (
	// peerBound is the age at which the counts of a peer are no longer used:
	// several of its reports are missing then.
	peerBound = 1200 * time.Millisecond
	// missedReports is the number of reports that a peer which reports seldom
	// may miss before its counts are no longer used.
	missedReports = 3
	// failPause is the first time for which a server that failed gets no
	// requests while others have room. It doubles with each failure in a row.
	failPause = 500 * time.Millisecond
	// silentBound is the time after which a server that runs requests and
	// sends nothing is used only if all others are full.
	silentBound = 300 * time.Millisecond
	// lostPause is the time for which the orderer's word of a lost server
	// holds; it repeats it several times within.
	lostPause = 500 * time.Millisecond
	// failPauseMax bounds the pause.
	failPauseMax = 4 * time.Second
)

// entry is what runs at one server from this node, and how it went.
type entry struct {
	running int
	// waiting is the number of prompt tokens of requests that have not begun.
	waiting  int
	progress time.Time
	fails    int
	avoid    time.Time
	// gap is the mean time between events of streams, over samples, of the
	// model.
	gap     time.Duration
	samples int
	model   string
}

// peer is what another node runs, known until a time.
type peer struct {
	until  time.Time
	counts map[string]Count
}

// Count is what one node has at a server.
type Count struct {
	// Running is the number of requests, Waiting that of the prompt tokens of
	// those that have not begun.
	Running int `cbor:"1,keyasint"`
	Waiting int `cbor:"2,keyasint"`
}

// Part returns the part of a batch of the size that the requests take. Prompts
// that wait count as well, and the part exceeds one where too many do.
func (cnt Count) Part(size int) float64 {
	return float64(cnt.Running)/float64(max(1, size)) + float64(cnt.Waiting)/waitingTokens
}

// Book counts the requests at the backend servers.
type Book struct {
	zone    string
	entries map[string]*entry
	peers   map[string]peer
	// total is the sum of the peers' counts by server, due the time at which
	// the first of them ends.
	total map[string]Count
	due   time.Time
	// lost are the servers that get no requests, until a time.
	lost map[string]time.Time
	turn int
}

// NewBook returns a Book of a node in the zone.
func NewBook(zone string) *Book {
	return &Book{zone: zone, entries: map[string]*entry{}, peers: map[string]peer{}, total: map[string]Count{}, lost: map[string]time.Time{}}
}

func (boo *Book) entry(id string) *entry {
	ent := boo.entries[id]
	if ent == nil {
		ent = &entry{}
		boo.entries[id] = ent
	}
	return ent
}

// Begin counts a request that is sent to the server.
func (boo *Book) Begin(id string, prompt int, now time.Time) {
	ent := boo.entry(id)
	if ent.running == 0 {
		ent.progress = now
	}
	ent.running++
	ent.waiting += prompt
}

// Started notes that the server runs a request of so many prompt tokens.
func (boo *Book) Started(id string, prompt int) {
	ent := boo.entry(id)
	ent.waiting -= prompt
}

// End counts the end of a request; waiting are its prompt tokens if it has not
// begun.
func (boo *Book) End(id string, waiting int) {
	ent := boo.entry(id)
	ent.waiting -= waiting
	ent.running--
	if ent.running <= 0 && ent.fails == 0 {
		delete(boo.entries, id)
	}
}

// Progress notes that the server sent something.
func (boo *Book) Progress(id string, now time.Time) {
	ent := boo.entry(id)
	ent.progress = now
	ent.fails = 0
	ent.avoid = time.Time{}
}

// Fail notes that a request failed at the server.
func (boo *Book) Fail(id string, now time.Time) {
	ent := boo.entry(id)
	pau := min(failPause<<min(ent.fails, 8), failPauseMax)
	ent.fails++
	ent.avoid = now.Add(pau)
}

// Lose notes that the orderer takes the server as lost: it gets no requests
// until the orderer, which says so again within every, has stopped saying so.
func (boo *Book) Lose(id string, every time.Duration, now time.Time) {
	boo.lost[id] = now.Add(max(lostPause, missedReports*every))
}

// Peer replaces the counts of another node, which come again within every.
func (boo *Book) Peer(node string, counts map[string]Count, every time.Duration, now time.Time) {
	boo.drop(node)
	until := now.Add(max(peerBound, missedReports*every))
	if len(boo.peers) == 0 || until.Before(boo.due) {
		boo.due = until
	}
	boo.peers[node] = peer{until: until, counts: counts}
	for id, cnt := range counts {
		sum := boo.total[id]
		boo.total[id] = Count{Running: sum.Running + cnt.Running, Waiting: sum.Waiting + cnt.Waiting}
	}
}

// drop forgets the counts of a peer.
func (boo *Book) drop(node string) {
	for id, cnt := range boo.peers[node].counts {
		sum := boo.total[id]
		sum = Count{Running: sum.Running - cnt.Running, Waiting: sum.Waiting - cnt.Waiting}
		if sum == (Count{}) {
			delete(boo.total, id)
		} else {
			boo.total[id] = sum
		}
	}
	delete(boo.peers, node)
}

// expire forgets the counts of peers that have fallen silent.
func (boo *Book) expire(now time.Time) {
	if len(boo.peers) == 0 || now.Before(boo.due) {
		return
	}
	boo.due = time.Time{}
	for nam, per := range boo.peers {
		switch {
		case !now.Before(per.until):
			boo.drop(nam)
		case boo.due.IsZero() || per.until.Before(boo.due):
			boo.due = per.until
		}
	}
}

// Own returns what this node has at servers.
func (boo *Book) Own() map[string]Count {
	out := make(map[string]Count, len(boo.entries))
	for id, ent := range boo.entries {
		if ent.running > 0 {
			out[id] = Count{Running: ent.running, Waiting: ent.waiting}
		}
	}
	return out
}

// Load returns what all nodes that were heard lately have at the server.
func (boo *Book) Load(id string, now time.Time) Count {
	boo.expire(now)
	sum := boo.total[id]
	if ent := boo.entries[id]; ent != nil {
		sum.Running += ent.running
		sum.Waiting += ent.waiting
	}
	return sum
}

// Silent returns the servers that run requests of this node and have sent
// nothing for the bound.
func (boo *Book) Silent(bound time.Duration, now time.Time) []string {
	var out []string
	for id, ent := range boo.entries {
		if ent.running > 0 && now.Sub(ent.progress) > bound {
			out = append(out, id)
		}
	}
	return out
}

const (
	// gapWeight is the weight of one more time between events in the mean.
	gapWeight = 0.1
	// gapSamples is the number of events after which a mean is used.
	gapSamples = 8
	// slowFactor is how many times the median of its model a server's mean
	// must be to be taken as slow: batches differ by less than two times.
	slowFactor = 2.5
)

// Gap notes the time between two events of a stream of the model.
func (boo *Book) Gap(id, model string, gap time.Duration) {
	ent := boo.entry(id)
	ent.model = model
	ent.samples++
	if ent.samples == 1 {
		ent.gap = gap
		return
	}
	ent.gap += time.Duration(gapWeight * float64(gap-ent.gap))
}

// Slow returns the servers whose streams run far slower than those of the
// other servers of their model.
func (boo *Book) Slow() []string {
	gaps := map[string][]time.Duration{}
	for _, ent := range boo.entries {
		if ent.samples >= gapSamples && ent.running > 0 {
			gaps[ent.model] = append(gaps[ent.model], ent.gap)
		}
	}
	for _, all := range gaps {
		slices.Sort(all)
	}
	var out []string
	for id, ent := range boo.entries {
		all := gaps[ent.model]
		if ent.samples >= gapSamples && ent.running > 0 && float64(ent.gap) > slowFactor*float64(all[(len(all)-1)/2]) {
			out = append(out, id)
		}
	}
	return out
}

// SilentFor returns the time for which a server that runs requests of this
// node has sent nothing.
func (boo *Book) SilentFor(id string, now time.Time) time.Duration {
	ent := boo.entries[id]
	if ent == nil || ent.running == 0 {
		return 0
	}
	return now.Sub(ent.progress)
}

// Choice is a server for a request, and how loaded it is.
type Choice struct {
	Server *site.Server
	Load   Count
}

// Choose returns the least loaded of the servers, with room for one more
// within limit requests, that isn't among the excluded ones. A server that
// failed lately comes last. It returns no server if all are full.
//
// Where many nodes choose by counts that are a report old, they would all
// choose the same server; each then looks at two drawn at random first.
func (boo *Book) Choose(srvs []*site.Server, limit func(*site.Server) int, excluded []string, now time.Time) Choice {
	if len(boo.peers)+1 > fewNodes && len(srvs) > sampleSize {
		cho, cost := boo.best(boo.sample(srvs), limit, excluded, now)
		if cho.Server != nil && cost < avoided {
			return cho
		}
	}
	boo.turn++
	cho, _ := boo.best(srvs, limit, excluded, now)
	return cho
}

const (
	// fewNodes is the number of nodes up to which each takes the best server.
	fewNodes = 6
	// sampleSize is the number of servers that are looked at by one of many
	// nodes: two are enough to even out the load.
	sampleSize = 2
)

// sample draws servers.
func (boo *Book) sample(srvs []*site.Server) []*site.Server {
	one := rand.IntN(len(srvs))
	two := rand.IntN(len(srvs) - 1)
	if two >= one {
		two++
	}
	return []*site.Server{srvs[one], srvs[two]}
}

// best returns the server of the lowest cost and the cost.
func (boo *Book) best(srvs []*site.Server, limit func(*site.Server) int, excluded []string, now time.Time) (Choice, float64) {
	var best Choice
	bestCost := 0.0
	for pos := range srvs {
		srv := srvs[(pos+boo.turn)%len(srvs)]
		if slices.Contains(excluded, srv.ID) || now.Before(boo.lost[srv.ID]) {
			continue
		}
		lod := boo.Load(srv.ID, now)
		lim := limit(srv)
		if lod.Running >= lim {
			continue
		}
		cost := lod.Part(lim)
		if srv.Zone != boo.zone {
			cost += otherZone
		}
		if ent := boo.entries[srv.ID]; ent != nil && (now.Before(ent.avoid) || ent.running > 0 && now.Sub(ent.progress) > silentBound) {
			cost += avoided
		}
		if best.Server == nil || cost < bestCost {
			best, bestCost = Choice{Server: srv, Load: lod}, cost
		}
	}
	return best, bestCost
}

// Costs of a choice, as parts of a server's capacity.
const (
	// otherZone is what the way to another zone counts for.
	otherZone = 0.04
	// waitingTokens is the number of waiting prompt tokens that count as much
	// as a whole batch: reading them takes about as long as a first event may.
	waitingTokens = 12000.0
	// avoided puts a server that failed behind each that didn't.
	avoided = 10.0
)
