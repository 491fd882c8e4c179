package trial

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
	"kumquathinge/model"
)

// Policy is what a trial measures.
type Policy struct {
	Name    string
	Admit   *admit.Config       // nil sends all requests on at once
	Chooser func() core.Chooser // for each entry VM
}

// Config sets up a trial.
type Config struct {
	Zone   model.Config
	Nodes  int // entry VMs of the zone
	Seed   uint64
	Policy Policy
}

// Learner is what a Chooser may have beside Choose, to learn from.
type Learner interface {
	Served(name core.GroupName, latency time.Duration, now time.Time)
	Failed(name core.GroupName, now time.Time)
	ApplyCacheEvents(name core.GroupName, events []core.CacheEvent)
}

const tickEvery = 100 * time.Millisecond

// epoch is the time of a trial's start.
var epoch = time.Unix(0, 0)

type state uint8

const (
	stateWaiting state = iota
	stateRunning
	stateEnded
)

// request is an arrival on its way.
type request struct {
	arr    *Arrival
	id     uint64
	node   *node
	at     time.Time
	due    time.Time
	sent   time.Time
	group  int
	state  state
	blocks []uint64
}

// node is one entry VM.
type node struct {
	mac     *admit.Controller
	cho     core.Chooser
	learner Learner
	cands   []core.Candidate
}

// trial is the state of a run.
type trial struct {
	cfg   Config
	now   time.Time
	rnd   *rand.Rand
	zone  *model.Zone
	nodes []*node
	reqs  []*request
	dues  dueHeap
	res   *Result
}

// Run runs the arrivals until all of them have ended.
func Run(cfg Config, arrs []Arrival) *Result {
	tri := newTrial(cfg, arrs)
	tick := epoch.Add(tickEvery)
	next := 0
	for next < len(arrs) || len(tri.dues) > 0 {
		at := tick
		if evt := tri.zone.Next(); evt.Before(at) {
			at = evt
		}
		if len(tri.dues) > 0 && tri.dues[0].due.Before(at) {
			at = tri.dues[0].due
		}
		if next < len(arrs) && tri.arrival(next).Before(at) {
			at = tri.arrival(next)
		}
		tri.now = at
		tri.handle(tri.zone.Advance(at))
		tri.expire()
		for ; next < len(arrs) && !tri.arrival(next).After(at); next++ {
			tri.arrive(&arrs[next])
		}
		if !tick.After(at) {
			tri.tick()
			tick = tick.Add(tickEvery)
		}
	}
	tri.res.finish(tri.zone.Hits())
	return tri.res
}

func newTrial(cfg Config, arrs []Arrival) *trial {
	tri := &trial{
		cfg:  cfg,
		now:  epoch,
		rnd:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		zone: model.New(cfg.Zone, epoch, rand.New(rand.NewPCG(cfg.Seed, 2))),
		res:  newResult(cfg.Policy.Name, arrs),
	}
	for range cfg.Nodes {
		tri.nodes = append(tri.nodes, tri.newNode())
	}
	return tri
}

func (tri *trial) newNode() *node {
	nod := &node{cho: tri.cfg.Policy.Chooser()}
	nod.learner, _ = nod.cho.(Learner)
	for idx := range tri.cfg.Zone.Groups {
		nod.cands = append(nod.cands, core.Candidate{
			Group: name(idx), FencingToken: 1, Capacity: tri.cfg.Zone.Slots,
		})
	}
	if tri.cfg.Policy.Admit != nil {
		nod.mac = admit.New(*tri.cfg.Policy.Admit)
		nod.mac.SetCapacity("", tri.cfg.Zone.Groups*tri.cfg.Zone.Slots/tri.cfg.Nodes)
	}
	return nod
}

func name(group int) core.GroupName { return core.GroupName(fmt.Sprint("g", group)) }

func (tri *trial) arrival(next int) time.Time {
	return epoch.Add(time.Duration(tri.res.arrs[next].At) * time.Millisecond)
}

func (tri *trial) arrive(arr *Arrival) {
	req := &request{
		arr: arr, id: uint64(len(tri.reqs)), at: tri.now,
		due:    tri.now.Add(time.Duration(arr.Deadline) * time.Millisecond),
		node:   tri.nodes[tri.rnd.IntN(len(tri.nodes))],
		blocks: blocks(arr, uint64(len(tri.reqs)), tri.cfg.Zone.BlockTokens),
	}
	tri.reqs = append(tri.reqs, req)
	heap.Push(&tri.dues, req)
	if req.node.mac == nil {
		tri.send(req)
		return
	}
	tri.carry(req.node.mac.Offer(admit.Item{
		ID: req.id, Org: arr.Org, Priority: arr.Priority,
		Cost: arr.cost(), Work: arr.work(), Deadline: req.due,
	}, tri.now))
}

// blocks returns hashes that requests of one system prompt share up to
// Shared.
func blocks(arr *Arrival, id uint64, blockTokens int) []uint64 {
	out := make([]uint64, arr.Prompt/blockTokens)
	for idx := range out {
		src := rand.NewPCG(arr.Prefix, uint64(idx))
		if idx >= arr.Shared {
			src = rand.NewPCG(id+1<<32, uint64(idx))
		}
		out[idx] = src.Uint64()
	}
	return out
}

func (tri *trial) carry(acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Admit:
			tri.send(tri.reqs[act.ID])
		case admit.Reject:
			req := tri.reqs[act.ID]
			tri.end(req)
			tri.res.refused(req, tri.now)
		}
	}
}

func (tri *trial) send(req *request) {
	nod := req.node
	req.group = nod.cho.Choose(nod.cands, req.blocks, tri.now, tri.rnd.Uint64())
	req.state = stateRunning
	req.sent = tri.now
	nod.cands[req.group].InFlight++
	tri.zone.Submit(req.group, model.Request{
		ID: req.id, Blocks: req.blocks, Prompt: req.arr.Prompt, Output: req.arr.Output,
	}, tri.now)
}

func (tri *trial) handle(events []model.Event) {
	for _, evt := range events {
		switch evt := evt.(type) {
		case model.Done:
			tri.done(tri.reqs[evt.ID])
		case model.Report:
			for _, nod := range tri.nodes {
				nod.cands[evt.Group].Load = evt.Load
				nod.cands[evt.Group].LoadAt = evt.At
			}
		case model.Cache:
			for _, nod := range tri.nodes {
				if nod.learner != nil {
					nod.learner.ApplyCacheEvents(name(evt.Group), evt.Events)
				}
			}
		}
	}
}

func (tri *trial) done(req *request) {
	tri.end(req)
	tri.res.met(req, tri.now)
	nod := req.node
	nod.cands[req.group].InFlight--
	if nod.learner != nil {
		// The time for each token, so that long answers don't count as slow.
		lat := tri.now.Sub(req.sent) / time.Duration(req.arr.Output)
		nod.learner.Served(name(req.group), lat, tri.now)
	}
	if nod.mac != nil {
		tri.carry(nod.mac.Done(req.id, req.arr.Output, tri.now))
	}
}

// expire ends the requests whose callers leave now.
func (tri *trial) expire() {
	for len(tri.dues) > 0 && !tri.dues[0].due.After(tri.now) {
		req := tri.dues[0]
		tri.res.late(req)
		sent := req.state == stateRunning
		tri.end(req)
		nod := req.node
		if sent {
			tri.zone.Cancel(req.id, tri.now)
			nod.cands[req.group].InFlight--
			if nod.learner != nil {
				nod.learner.Failed(name(req.group), tri.now)
			}
		}
		if nod.mac != nil {
			tri.carry(nod.mac.Cancel(req.id, tri.now))
		}
	}
}

func (tri *trial) end(req *request) {
	req.state = stateEnded
	heap.Remove(&tri.dues, tri.dues.index(req))
}

func (tri *trial) tick() {
	for _, nod := range tri.nodes {
		if nod.mac != nil {
			tri.carry(nod.mac.Tick(tri.now))
		}
	}
}

// dueHeap orders the requests that haven't ended by their deadline.
type dueHeap []*request

var _ heap.Interface = (*dueHeap)(nil)

func (due dueHeap) index(req *request) int {
	for idx, oth := range due {
		if oth == req {
			return idx
		}
	}
	panic("trial: request ended twice")
}

func (due dueHeap) Len() int { return len(due) }

func (due dueHeap) Less(idx, oth int) bool {
	if !due[idx].due.Equal(due[oth].due) {
		return due[idx].due.Before(due[oth].due)
	}
	return due[idx].id < due[oth].id
}

func (due dueHeap) Swap(idx, oth int) { due[idx], due[oth] = due[oth], due[idx] }

func (due *dueHeap) Push(val any) { *due = append(*due, val.(*request)) }

func (due *dueHeap) Pop() any {
	last := len(*due) - 1
	val := (*due)[last]
	*due = (*due)[:last]
	return val
}
