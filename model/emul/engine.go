package emul

import (
	"fmt"
	"slices"
	"time"

	"kumquathinge/core/site"
)

// Durations of orders that do not depend on the model.
const (
	// sameModelJoinTime is the duration of a join to the model of the last
	// group.
	sameModelJoinTime = 200 * time.Millisecond
	openTime          = 300 * time.Millisecond
)

// loadJob is a load of a model from the weight store.
type loadJob struct {
	model string
	// left is the time that the load still takes at full speed.
	left time.Duration
	// fast is set for a join that began before traffic. It takes a tenth of the
	// time and slows no other load down.
	fast bool
}

// Engine is an emulated model server.
type Engine struct {
	server       site.Server
	running      bool
	stoppedAt    time.Time
	highestTerm  int64
	highestEpoch int64
	lastModel    string
	members      []string
	// joinLoad is the load of a join.
	joinLoad *loadJob
	// joinLeft is the time that a join takes after its load.
	joinLeft time.Duration
	// openAt is when an opening completes.
	openAt time.Time
	// wasReady contains the groupKey of each group in which the server has been
	// ready.
	wasReady map[string]bool
	// pinned holds the ends of the requests that may not be resumed.
	pinned []time.Time
	// dark is set if the host has stopped with the process.
	dark bool
	// stalledSince is the time since which the head serves without all of its members.
	stalledSince time.Time
	// slow is the factor by which the server slows its group down.
	slow float64
}

// ID returns the ID of the server.
func (eng *Engine) ID() string { return eng.server.ID }

// Server returns a copy of the entry of the server.
func (eng *Engine) Server() site.Server { return eng.server }

// Members returns the IDs of the members of the server's group, the head first.
func (eng *Engine) Members() []string { return eng.members }

// Loading reports whether the server is loading a model onto its host.
func (eng *Engine) Loading() bool { return eng.joinLoad != nil }

// Running reports whether the process runs.
func (eng *Engine) Running() bool { return eng.running }

func (eng *Engine) groupKey() string {
	return fmt.Sprint(eng.server.Group.Name, "/", eng.server.Group.Epoch, "/", eng.members)
}

// advance completes what is due after step has passed. share is the speed of
// loads.
func (eng *Engine) advance(now time.Time, step time.Duration, share float64) {
	if !eng.running {
		return
	}
	eng.pinned = slices.DeleteFunc(eng.pinned, func(end time.Time) bool { return !now.Before(end) })
	if eng.server.Group.State == site.GroupClosing && len(eng.pinned) == 0 {
		eng.server.Group.State = site.GroupReady
	}
	progress(eng.joinLoad, step, share)
	if eng.server.Group.State == site.GroupJoining && (eng.joinLoad == nil || eng.joinLoad.left <= 0) {
		if eng.joinLoad != nil {
			eng.server.StagedModels = []string{eng.joinLoad.model}
			eng.joinLoad = nil
		}
		eng.joinLeft -= step
		if eng.joinLeft <= 0 {
			eng.server.Group.State = site.GroupReady
			eng.server.Model = eng.lastModel
			eng.wasReady[eng.groupKey()] = true
		}
	}
	if eng.server.Group.State == site.GroupReady && !eng.openAt.IsZero() && !now.Before(eng.openAt) {
		eng.server.Group.State = site.GroupOpen
		eng.openAt = time.Time{}
	}
}

func progress(job *loadJob, step time.Duration, share float64) {
	switch {
	case job == nil:
	case job.fast:
		job.left -= step
	default:
		job.left -= time.Duration(share * float64(step))
	}
}

// mayServe reports whether the server is a head that serves or is about to.
func (eng *Engine) mayServe() bool {
	state := eng.server.Group.State
	return eng.server.Group.Rank == 0 && (state == site.GroupOpen || state == site.GroupClosing || !eng.openAt.IsZero())
}

// close makes a head ready, or closing while requests that may not be resumed are open.
func (eng *Engine) close() {
	eng.server.Group.State = site.GroupClosing
	if len(eng.pinned) == 0 {
		eng.server.Group.State = site.GroupReady
	}
}

// leave takes the server out of its group.
func (eng *Engine) leave() {
	eng.server.Group, eng.server.Model, eng.members, eng.openAt, eng.joinLoad = site.Membership{}, "", nil, time.Time{}, nil
}

// entry returns a copy of the server's entry.
func (eng *Engine) entry() *site.Server {
	srv := eng.server
	srv.StagedModels = slices.Clone(srv.StagedModels)
	return &srv
}
