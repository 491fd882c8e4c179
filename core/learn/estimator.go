package learn

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core/site"
)

const (
	// sampleTime is the time constant with which samples lose their weight, and
	// scarceSampleTime that while all nodes have fewer than scarceSamples of a server.
	sampleTime, scarceSampleTime = time.Second, 6 * time.Second
	scarceSamples                = 16
	// reportTimeout is the age at which a peer's report no longer counts. With 340
	// nodes a peer reports every 1.8 s.
	reportTimeout = 3 * time.Second
	// failurePenalty is the number of targets that a failed request counts as having
	// taken, so that a server that fails quickly doesn't count as fast.
	failurePenalty = 4
)

// Class is a set of servers that should be equally fast.
type Class struct {
	// Name is the model, or the plain service.
	Name string
	// Slots is the published number of requests of each server, zero if each names
	// its own.
	Slots int
	// Streams is set if the times between events tell the speed of a server, instead
	// of the times to the answers.
	Streams bool
	Servers []*site.Server
}

// Change is a fall or a recovery of the estimate of a server.
type Change struct {
	Class, Server string
	// Slots is the published number of requests, From and To are the estimates.
	Slots    int
	From, To float64
	// LateFirsts and LateGaps are the fractions of late samples at Load requests.
	LateFirsts, LateGaps, Load float64
	Speed                      float64
}

// ClassSummary describes the estimates of a class.
type ClassSummary struct {
	Class string
	// Servers is the number of servers, Limited and Slow are those below their
	// published capacity and far below the speed of the class.
	Servers, Limited, Slow int
	// Fraction is the mean fraction of the published capacity.
	Fraction float64
}

// peerReport is the last report of a peer. It is decoded at its receipt, since several
// steps may pass until the next one.
type peerReport struct {
	entries    []entry
	receivedAt time.Time
	// servers holds the servers of the entries, nil where the server is not known, as
	// of the generation resolvedIn.
	servers    []*server
	resolvedIn uint64
}

// Estimator estimates the capacity and the speed of servers.
type Estimator struct {
	node    string
	servers map[string]*server
	byKey   map[uint32]*server
	peers   map[string]*peerReport
	// generation counts the changes of servers. It starts at 1.
	generation uint64
	// order lists the servers as in the classes, cursor is the position in it of the
	// next report.
	order     []*server
	cursor    int
	summaries []ClassSummary
	gaps      map[string]time.Duration
	steppedAt time.Time
}

var (
	_ site.CapacityEstimator = (*Estimator)(nil)
	_ site.SpeedEstimator    = (*Estimator)(nil)
)

// NewEstimator returns an Estimator of a node.
func NewEstimator(node string) *Estimator {
	return &Estimator{node: node, servers: map[string]*server{}, byKey: map[uint32]*server{}, peers: map[string]*peerReport{}, generation: 1, gaps: map[string]time.Duration{}}
}

// find returns the estimate of a process of a server, or nil.
func (est *Estimator) find(run site.ServerRun) *server {
	srv := est.servers[run.ID]
	if srv == nil || srv.run != run {
		return nil
	}
	return srv
}

// RecordFirst records the time to the first event or to the answer of a request. load is
// the number of requests of all nodes at the server.
func (est *Estimator) RecordFirst(run site.ServerRun, load int, took, target time.Duration) {
	srv := est.find(run)
	if srv == nil || target <= 0 {
		return
	}
	srv.own.firsts.add(load, took > target)
	if !srv.timesGaps {
		srv.own.addTime(took, load, srv.slots)
	}
}

// RecordFailure records a request that failed at the server, whose target was given.
func (est *Estimator) RecordFailure(run site.ServerRun, load int, target time.Duration) {
	est.RecordFirst(run, load, failurePenalty*target, target)
}

// RecordGap records the time between two events of a stream.
func (est *Estimator) RecordGap(run site.ServerRun, load int, gap, target time.Duration) {
	srv := est.find(run)
	if srv == nil || target <= 0 {
		return
	}
	srv.own.gaps.add(load, gap > target)
	if srv.timesGaps {
		srv.own.addTime(gap, load, srv.slots)
	}
}

// Fraction implements site.CapacityEstimator.
func (est *Estimator) Fraction(target *site.Server, _ time.Time) float64 {
	srv := est.find(target.Run())
	if srv == nil || srv.slots <= 0 {
		return 1
	}
	return min(1, srv.limit/float64(srv.slots))
}

// Speed implements site.SpeedEstimator.
func (est *Estimator) Speed(target *site.Server) float64 {
	if srv := est.find(target.Run()); srv != nil {
		return srv.speed
	}
	return 1
}

const (
	// slowSpeed is the speed from which a server counts as far below its class, and
	// minSlowSamples the number of samples for that: a probe that fails on a busy
	// machine takes the server out of service.
	slowSpeed      = 0.5
	minSlowSamples = 8.0
)

// SlowServers returns the IDs of the servers that are far slower than their class.
func (est *Estimator) SlowServers() []string {
	var out []string
	for _, srv := range est.order {
		if srv.speed <= slowSpeed && srv.sum.timed >= minSlowSamples {
			out = append(out, srv.run.ID)
		}
	}
	return out
}

// EventGap returns the median time between two events of a stream of a class, zero if it
// is not known.
func (est *Estimator) EventGap(class string) time.Duration { return est.gaps[class] }

// Summaries returns a summary of each class at the last step. It must not be modified.
func (est *Estimator) Summaries() []ClassSummary { return est.summaries }

// UpdatePeer replaces the report of another node. A malformed one is ignored.
func (est *Estimator) UpdatePeer(node string, raw []byte, now time.Time) {
	if len(raw)%entrySize != 0 || len(raw) > MaxReport {
		return
	}
	report := est.peers[node]
	if report == nil {
		report = &peerReport{}
		est.peers[node] = report
	}
	report.entries, report.receivedAt, report.resolvedIn = report.entries[:0], now, 0
	for ; len(raw) >= entrySize; raw = raw[entrySize:] {
		report.entries = append(report.entries, decodeEntry(raw))
	}
}

// Report returns the samples of this node for its peers, at most MaxReport bytes.
// Servers whose estimates are suspect come first.
func (est *Estimator) Report() []byte {
	raw := make([]byte, 0, MaxReport)
	for _, suspect := range []bool{true, false} {
		from := est.cursor
		for pos := range est.order {
			srv := est.order[(from+pos)%len(est.order)]
			if srv.suspect() != suspect || srv.own.firsts.count+srv.own.gaps.count < 1.0/countScale && !srv.limited() {
				continue
			}
			if len(raw) == MaxReport {
				return raw
			}
			raw = appendEntry(raw, &entry{key: srv.key, samples: srv.own, limit: srv.limit})
			est.cursor = (from + pos + 1) % len(est.order)
		}
	}
	return raw
}

// Step updates the estimates of the servers, and returns those which changed much.
func (est *Estimator) Step(classes []Class, now time.Time) []Change {
	elapsed := min(scarceSampleTime, max(0, now.Sub(est.steppedAt)))
	est.steppedAt = now
	est.setServers(classes, now)
	est.sumSamples(elapsed, now)
	est.summaries = est.summaries[:0]
	clear(est.gaps)
	from := 0
	var out []Change
	for idx := range classes {
		srvs := est.order[from : from+len(classes[idx].Servers)]
		from += len(srvs)
		out = append(out, est.stepClass(&classes[idx], srvs, elapsed, now)...)
	}
	return out
}

// setServers adds the servers that are new and removes the others.
func (est *Estimator) setServers(classes []Class, now time.Time) {
	old := est.order
	same := true
	est.order = est.order[:0]
	for idx := range classes {
		class := &classes[idx]
		for _, target := range class.Servers {
			srv := est.find(target.Run())
			if srv == nil {
				srv = newServer(target.Run(), now)
			}
			srv.setClass(class, target)
			// old has the same array, which append overwrites up to here.
			pos := len(est.order)
			same = same && pos < len(old) && old[pos] == srv
			est.order = append(est.order, srv)
		}
	}
	if est.cursor >= len(est.order) {
		est.cursor = 0
	}
	if same && len(est.order) == len(old) {
		return
	}
	est.generation++
	clear(est.servers)
	clear(est.byKey)
	for _, srv := range est.order {
		est.servers[srv.run.ID] = srv
		est.byKey[srv.key] = srv
	}
}

// resolve finds the servers of a report.
func (est *Estimator) resolve(report *peerReport) {
	if report.resolvedIn == est.generation {
		return
	}
	report.resolvedIn = est.generation
	report.servers = report.servers[:0]
	for idx := range report.entries {
		report.servers = append(report.servers, est.byKey[report.entries[idx].key])
	}
}

// sumSamples adds up the samples of this node and of the peers.
func (est *Estimator) sumSamples(elapsed time.Duration, now time.Time) {
	weight := math.Exp(-elapsed.Seconds() / sampleTime.Seconds())
	scarceWeight := math.Exp(-elapsed.Seconds() / scarceSampleTime.Seconds())
	for _, srv := range est.order {
		if srv.sum.firsts.count+srv.sum.gaps.count < scarceSamples {
			srv.own.scale(scarceWeight)
		} else {
			srv.own.scale(weight)
		}
		srv.sum = srv.own
		srv.limits, srv.limitWeight = 0, 0
	}
	for node, report := range est.peers {
		age := now.Sub(report.receivedAt)
		if age > reportTimeout {
			delete(est.peers, node)
			continue
		}
		weight := math.Exp(-max(0, age.Seconds()) / sampleTime.Seconds())
		est.resolve(report)
		for idx := range report.entries {
			if srv := report.servers[idx]; srv != nil {
				srv.addEntry(&report.entries[idx], weight)
			}
		}
	}
}

// addEntry adds what a peer reported.
func (srv *server) addEntry(ent *entry, weight float64) {
	srv.sum.addScaled(&ent.samples, weight)
	if ent.limit >= 1 {
		srv.limits += weight * ent.limit
		srv.limitWeight += weight
	}
}

// phase returns a number in [0, 1) that differs between nodes and servers.
func (est *Estimator) phase(srv *server) float64 {
	return float64(xxhash.Sum64String(est.node+"/"+srv.run.ID)%1024) / 1024
}
