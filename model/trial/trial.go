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

// Policy is an admission and routing policy.
type Policy struct {
	Name    string
	Admit   *admit.Config       // nil disables admission control
	Chooser func() core.Chooser // creates the chooser of an entry VM
}

// Config sets up a trial.
type Config struct {
	Zone     model.Config
	EntryVMs int
	Seed     uint64
	Policy   Policy
}

// Feedback is implemented by choosers that use request outcomes and cache
// events.
type Feedback interface {
	Served(name core.GroupName, latency time.Duration, now time.Time)
	Failed(name core.GroupName, now time.Time)
	ApplyCacheEvents(name core.GroupName, events []core.CacheEvent)
}

const tickInterval = 100 * time.Millisecond

// startTime is the simulated time at which a trial starts.
var startTime = time.Unix(0, 0)

type state uint8

const (
	stateWaiting state = iota
	stateRunning
	stateEnded
)

// request is the state of an arrival.
type request struct {
	arrival   *Arrival
	id        uint64
	vm        *entryVM // that received the request
	arrivedAt time.Time
	deadline  time.Time
	sentAt    time.Time
	group     int
	state     state
	blocks    []uint64
}

// entryVM is the state of an entry VM. The field admission is nil without
// admission control, and feedback is nil if the chooser doesn't implement it.
type entryVM struct {
	admission  *admit.Controller
	chooser    core.Chooser
	feedback   Feedback
	candidates []core.Candidate
}

// simulation is the state of a trial.
type simulation struct {
	cfg       Config
	now       time.Time
	rng       *rand.Rand
	zone      *model.Zone
	vms       []*entryVM
	requests  []*request
	deadlines deadlineHeap
	result    *Result
}

// Run simulates the arrivals until each has completed, been rejected or reached
// its deadline.
func Run(cfg Config, arrivals []Arrival) *Result {
	sim := newSimulation(cfg, arrivals)
	tick := startTime.Add(tickInterval)
	next := 0
	for next < len(arrivals) || len(sim.deadlines) > 0 {
		at := tick
		if evt := sim.zone.Next(); evt.Before(at) {
			at = evt
		}
		if len(sim.deadlines) > 0 && sim.deadlines[0].deadline.Before(at) {
			at = sim.deadlines[0].deadline
		}
		if next < len(arrivals) && sim.arrivalTime(next).Before(at) {
			at = sim.arrivalTime(next)
		}
		sim.now = at
		sim.handleEvents(sim.zone.Advance(at))
		sim.expire()
		for ; next < len(arrivals) && !sim.arrivalTime(next).After(at); next++ {
			sim.handleArrival(&arrivals[next])
		}
		if !tick.After(at) {
			sim.tick()
			tick = tick.Add(tickInterval)
		}
	}
	sim.result.summarise(sim.zone.CacheStats())
	return sim.result
}

func newSimulation(cfg Config, arrivals []Arrival) *simulation {
	sim := &simulation{
		cfg:    cfg,
		now:    startTime,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		zone:   model.New(cfg.Zone, startTime, rand.New(rand.NewPCG(cfg.Seed, 2))),
		result: newResult(cfg.Policy.Name, arrivals),
	}
	for range cfg.EntryVMs {
		sim.vms = append(sim.vms, sim.newEntryVM())
	}
	return sim
}

func (sim *simulation) newEntryVM() *entryVM {
	vm := &entryVM{chooser: sim.cfg.Policy.Chooser()}
	vm.feedback, _ = vm.chooser.(Feedback)
	for idx := range sim.cfg.Zone.Groups {
		vm.candidates = append(vm.candidates, core.Candidate{
			Group: groupName(idx), FencingToken: 1, Capacity: sim.cfg.Zone.Slots,
		})
	}
	if sim.cfg.Policy.Admit != nil {
		vm.admission = admit.New(*sim.cfg.Policy.Admit)
		vm.admission.SetCapacity("", sim.cfg.Zone.Groups*sim.cfg.Zone.Slots/sim.cfg.EntryVMs)
	}
	return vm
}

func groupName(group int) core.GroupName { return core.GroupName(fmt.Sprint("g", group)) }

func (sim *simulation) arrivalTime(next int) time.Time {
	return startTime.Add(time.Duration(sim.result.arrivals[next].AtMillis) * time.Millisecond)
}

func (sim *simulation) handleArrival(arr *Arrival) {
	req := &request{
		arrival: arr, id: uint64(len(sim.requests)), arrivedAt: sim.now,
		deadline: sim.now.Add(time.Duration(arr.DeadlineMillis) * time.Millisecond),
		vm:       sim.vms[sim.rng.IntN(len(sim.vms))],
		blocks:   prefixBlocks(arr, uint64(len(sim.requests)), sim.cfg.Zone.BlockTokens),
	}
	sim.requests = append(sim.requests, req)
	heap.Push(&sim.deadlines, req)
	if req.vm.admission == nil {
		sim.send(req)
		return
	}
	sim.applyActions(req.vm.admission.Offer(admit.Item{
		ID: req.id, Org: arr.Org, Priority: arr.Priority,
		Cost: arr.admissionTokens(), Work: arr.work(), Deadline: req.deadline,
	}, sim.now))
}

// prefixBlocks returns the block hashes of a prompt. The first SharedBlocks are
// the same for all requests with this system prompt; the others are unique.
func prefixBlocks(arr *Arrival, id uint64, blockTokens int) []uint64 {
	out := make([]uint64, arr.PromptTokens/blockTokens)
	for idx := range out {
		src := rand.NewPCG(arr.SystemPrompt, uint64(idx))
		if idx >= arr.SharedBlocks {
			src = rand.NewPCG(id+1<<32, uint64(idx))
		}
		out[idx] = src.Uint64()
	}
	return out
}

func (sim *simulation) applyActions(acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Admit:
			sim.send(sim.requests[act.ID])
		case admit.Reject:
			req := sim.requests[act.ID]
			sim.finishRequest(req)
			sim.result.recordRefused(req, sim.now)
		}
	}
}

func (sim *simulation) send(req *request) {
	vm := req.vm
	req.group = vm.chooser.Choose(vm.candidates, req.blocks, sim.now, sim.rng.Uint64())
	req.state = stateRunning
	req.sentAt = sim.now
	vm.candidates[req.group].InFlight++
	sim.zone.Submit(req.group, model.Request{
		ID: req.id, Blocks: req.blocks, PromptTokens: req.arrival.PromptTokens, OutputTokens: req.arrival.OutputTokens,
	}, sim.now)
}

func (sim *simulation) handleEvents(events []model.Event) {
	for _, evt := range events {
		switch evt := evt.(type) {
		case model.Done:
			sim.handleDone(sim.requests[evt.ID])
		case model.LoadReport:
			for _, vm := range sim.vms {
				vm.candidates[evt.Group].Load = evt.Load
				vm.candidates[evt.Group].LoadAt = evt.At
			}
		case model.CacheUpdate:
			for _, vm := range sim.vms {
				if vm.feedback != nil {
					vm.feedback.ApplyCacheEvents(groupName(evt.Group), evt.Events)
				}
			}
		}
	}
}

func (sim *simulation) handleDone(req *request) {
	sim.finishRequest(req)
	sim.result.recordMet(req, sim.now)
	vm := req.vm
	vm.candidates[req.group].InFlight--
	if vm.feedback != nil {
		// Latency per output token, so that long responses don't count as slow.
		lat := sim.now.Sub(req.sentAt) / time.Duration(req.arrival.OutputTokens)
		vm.feedback.Served(groupName(req.group), lat, sim.now)
	}
	if vm.admission != nil {
		sim.applyActions(vm.admission.Done(req.id, req.arrival.OutputTokens, sim.now))
	}
}

// expire cancels the requests whose deadline is reached.
func (sim *simulation) expire() {
	for len(sim.deadlines) > 0 && !sim.deadlines[0].deadline.After(sim.now) {
		req := sim.deadlines[0]
		sim.result.recordLate(req)
		sent := req.state == stateRunning
		sim.finishRequest(req)
		vm := req.vm
		if sent {
			sim.zone.Cancel(req.id, sim.now)
			vm.candidates[req.group].InFlight--
			if vm.feedback != nil {
				vm.feedback.Failed(groupName(req.group), sim.now)
			}
		}
		if vm.admission != nil {
			sim.applyActions(vm.admission.Cancel(req.id, sim.now))
		}
	}
}

func (sim *simulation) finishRequest(req *request) {
	req.state = stateEnded
	heap.Remove(&sim.deadlines, sim.deadlines.index(req))
}

func (sim *simulation) tick() {
	for _, vm := range sim.vms {
		if vm.admission != nil {
			sim.applyActions(vm.admission.Tick(sim.now))
		}
	}
}

// deadlineHeap is a min-heap of the active requests, ordered by deadline.
type deadlineHeap []*request

var _ heap.Interface = (*deadlineHeap)(nil)

func (dh deadlineHeap) index(req *request) int {
	for idx, other := range dh {
		if other == req {
			return idx
		}
	}
	panic("trial: request is not active")
}

func (dh deadlineHeap) Len() int { return len(dh) }

func (dh deadlineHeap) Less(idx, other int) bool {
	if !dh[idx].deadline.Equal(dh[other].deadline) {
		return dh[idx].deadline.Before(dh[other].deadline)
	}
	return dh[idx].id < dh[other].id
}

func (dh deadlineHeap) Swap(idx, other int) { dh[idx], dh[other] = dh[other], dh[idx] }

func (dh *deadlineHeap) Push(val any) { *dh = append(*dh, val.(*request)) }

func (dh *deadlineHeap) Pop() any {
	last := len(*dh) - 1
	val := (*dh)[last]
	*dh = (*dh)[:last]
	return val
}
