package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"kumquathinge/core/learn"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

// Heartbeats of a deployment, as in entry.
const (
	heartbeatInterval = 120 * time.Millisecond
	heartbeatFanout   = 36
	zoneFanout        = 12
	crossZoneFanout   = 16
)

// Config describes a deployment and its load.
type Config struct {
	// Nodes is the number of nodes, spread over the zones.
	Nodes int
	// Heads is the number of heads by zone, Slots that of the requests of each.
	Heads []int
	Slots int
	// Rate is the number of requests a second at all nodes. Burst, if set, scales it.
	Rate  float64
	Burst func(at time.Duration) float64
	// PromptTokens is the mean length of a prompt, of which a head processes
	// PromptsPerSec tokens a second.
	PromptTokens  int
	PromptsPerSec float64
	// Events is the mean number of events of a stream. The interval between two of
	// them is EventGap at a head with one request, and twice that with all slots in
	// use.
	Events   int
	EventGap time.Duration
	// TargetFirst and TargetGap are the targets for the first event and the intervals
	// between events.
	TargetFirst, TargetGap time.Duration
	// Slowdown, if set, returns the factor by which a head takes longer.
	Slowdown func(head, load int, at time.Duration) float64
	// Duration is the simulated time. What arrives within Warmup does not count.
	Duration, Warmup time.Duration
	// Policy selects the choice of a server.
	Policy Policy
	// Learn lets the nodes estimate what the heads sustain.
	Learn bool
	// Plain lets the heads answer once, after the prompt and all events, and judges the
	// answer by TargetFirst.
	Plain bool
	// Sample, if set, is called every heartbeatInterval after the first node has
	// updated its estimates.
	Sample func(at time.Duration, fraction func(head int) float64)
	Seed   uint64
}

// Policy is a choice of a server.
type Policy uint8

const (
	// PolicyDraw draws servers by their capacity.
	PolicyDraw Policy = iota
	// PolicySample compares a few random servers of the own zone, and of others if these
	// are busy.
	PolicySample
)

// Result is what callers saw.
type Result struct {
	// Requests is the sum of the others. OnTime requests met both targets, Rejected
	// ones found no server.
	Requests, OnTime, Late, Rejected int
	// Received is the number of requests by head.
	Received []int
	// CrossZone is the number of requests to a head of another zone.
	CrossZone int
}

// OnTimeRatio returns the fraction of the requests that met their targets.
func (res *Result) OnTimeRatio() float64 {
	return float64(res.OnTime) / float64(max(1, res.Requests))
}

// BusiestRatio returns the ratio of the requests of the busiest head to the mean.
func (res *Result) BusiestRatio() float64 {
	busiest, sum := 0, 0
	for _, num := range res.Received {
		busiest = max(busiest, num)
		sum += num
	}
	return float64(busiest*len(res.Received)) / float64(max(1, sum))
}

// CrossZoneRatio returns the fraction of the requests that went to another zone.
func (res *Result) CrossZoneRatio() float64 {
	return float64(res.CrossZone) / float64(max(1, res.Requests))
}

// event is a step of the simulation at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// agenda is a heap of events.
type agenda []event

func (age agenda) Len() int { return len(age) }
func (age agenda) Less(one, two int) bool {
	return age[one].at < age[two].at || age[one].at == age[two].at && age[one].seq < age[two].seq
}
func (age agenda) Swap(one, two int) { age[one], age[two] = age[two], age[one] }

// Push implements heap.Interface.
func (age *agenda) Push(item any) { *age = append(*age, item.(event)) }

// Pop implements heap.Interface.
func (age *agenda) Pop() any {
	old := *age
	item := old[len(old)-1]
	*age = old[:len(old)-1]
	return item
}

// drainTime is how long the simulation goes on after Duration, so that what arrived before
// ends.
const drainTime = 6 * time.Second

// epoch is the simulated start.
var epoch = time.Unix(1000, 0)

// fleet is a running simulation.
type fleet struct {
	cfg     Config
	rng     *rand.Rand
	agenda  agenda
	now     time.Duration
	seq     int
	nodes   []*node
	heads   []*head
	servers []*site.Server
	result  Result
}

// Run simulates the deployment.
func Run(cfg Config) Result {
	flt := &fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	for zone, num := range cfg.Heads {
		for range num {
			srv := &site.Server{ID: fmt.Sprintf("head-%03d", len(flt.heads)), Zone: zoneName(zone), Slots: cfg.Slots}
			flt.heads = append(flt.heads, &head{fleet: flt, index: len(flt.heads), server: srv})
			flt.servers = append(flt.servers, srv)
		}
	}
	flt.result.Received = make([]int, len(flt.heads))
	flt.addNodes()
	flt.after(0, flt.arrive)
	for len(flt.agenda) > 0 && flt.agenda[0].at < cfg.Duration+drainTime {
		next := heap.Pop(&flt.agenda).(event)
		flt.now = next.at
		next.run()
	}
	return flt.result
}

func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// after runs fn after a time.
func (flt *fleet) after(dur time.Duration, fn func()) {
	flt.seq++
	heap.Push(&flt.agenda, event{at: flt.now + dur, seq: flt.seq, run: fn})
}

// clock returns the simulated time of day.
func (flt *fleet) clock() time.Time { return epoch.Add(flt.now) }

// arrive sends the next request to a random node.
func (flt *fleet) arrive() {
	rate := flt.cfg.Rate
	if flt.cfg.Burst != nil {
		rate *= flt.cfg.Burst(flt.now)
	}
	flt.after(time.Duration(flt.rng.ExpFloat64()/rate*float64(time.Second)), flt.arrive)
	flt.nodes[flt.rng.IntN(len(flt.nodes))].serve()
}

// counted reports whether a request that arrives now counts.
func (flt *fleet) counted() bool { return flt.now >= flt.cfg.Warmup && flt.now < flt.cfg.Duration }

// node is an entry VM.
type node struct {
	fleet    *fleet
	name     string
	zone     string
	balancer *share.Balancer
	// learned is nil if the nodes don't learn.
	learned *learn.Estimator
	// sameZone and others are the names of the peers. The heartbeats rotate over them.
	all, sameZone, others  []string
	zoneRotation, rotation share.RoundRobin
}

func (flt *fleet) addNodes() {
	for idx := range flt.cfg.Nodes {
		zone := zoneName(idx % len(flt.cfg.Heads))
		nd := &node{fleet: flt, name: fmt.Sprintf("node-%03d", idx), zone: zone, balancer: share.NewBalancer(zone)}
		nd.balancer.SetDrawn(func() bool { return flt.cfg.Policy == PolicyDraw })
		if flt.cfg.Learn {
			nd.learned = learn.NewEstimator(nd.name)
			nd.balancer.AddEstimator(nd.learned)
			nd.balancer.SetSpeeds(nd.learned)
		}
		flt.nodes = append(flt.nodes, nd)
	}
	byName := map[string]*node{}
	for _, one := range flt.nodes {
		byName[one.name] = one
		for _, two := range flt.nodes {
			switch {
			case one == two:
				continue
			case one.zone == two.zone:
				one.sameZone = append(one.sameZone, two.name)
			default:
				one.others = append(one.others, two.name)
			}
			one.all = append(one.all, two.name)
		}
	}
	for _, nd := range flt.nodes {
		flt.after(time.Duration(flt.rng.Int64N(int64(heartbeatInterval))), func() { nd.heartbeat(byName) })
	}
}

// heartbeat sends a round of heartbeats.
func (nd *node) heartbeat(byName map[string]*node) {
	nd.fleet.after(heartbeatInterval, func() { nd.heartbeat(byName) })
	loads, learned := nd.balancer.LocalLoads(), nd.learn()
	send := func(names []string, interval time.Duration) {
		for _, name := range names {
			peer := byName[name]
			peer.balancer.UpdatePeer(nd.name, loads, interval, nd.fleet.clock())
			if learned != nil {
				peer.learned.UpdatePeer(nd.name, learned, nd.fleet.clock())
			}
		}
	}
	if len(nd.all) <= heartbeatFanout {
		send(nd.all, heartbeatInterval)
		return
	}
	send(nd.zoneRotation.NextBatch(nd.sameZone, zoneFanout), time.Duration(share.BatchCount(len(nd.sameZone), zoneFanout))*heartbeatInterval)
	send(nd.rotation.NextBatch(nd.others, crossZoneFanout), time.Duration(share.BatchCount(len(nd.others), crossZoneFanout))*heartbeatInterval)
}

// learn updates the estimates of the node and returns its report.
func (nd *node) learn() []byte {
	if nd.learned == nil {
		return nil
	}
	flt := nd.fleet
	nd.learned.Step([]learn.Class{{Name: "m", Streams: !flt.cfg.Plain, Servers: flt.servers}}, flt.clock())
	if nd == flt.nodes[0] && flt.cfg.Sample != nil {
		flt.cfg.Sample(flt.now, func(head int) float64 { return nd.learned.Fraction(flt.servers[head], flt.clock()) })
	}
	return nd.learned.Report()
}

// serve sends a request that arrives at the node to a head.
func (nd *node) serve() {
	flt := nd.fleet
	now, capacity := flt.clock(), func(srv *site.Server) int { return srv.Slots }
	// Drawn for each arrival, so that all policies get the same requests.
	prompt, events := 1+int(flt.rng.ExpFloat64()*float64(flt.cfg.PromptTokens)), 1+int(flt.rng.ExpFloat64()*float64(flt.cfg.Events))
	choice := nd.balancer.Choose(flt.servers, capacity, nil, now)
	counted := flt.counted()
	if counted {
		flt.result.Requests++
	}
	if choice.Server == nil {
		if counted {
			flt.result.Rejected++
		}
		return
	}
	nd.balancer.RequestSent(choice.Server.ID, prompt, now)
	for _, hd := range flt.heads {
		if hd.server != choice.Server {
			continue
		}
		if counted {
			flt.result.Received[hd.index]++
		}
		if counted && hd.server.Zone != nd.zone {
			flt.result.CrossZone++
		}
		hd.submit(&request{node: nd, prompt: prompt, left: events, sentAt: flt.now, counted: counted})
	}
}
