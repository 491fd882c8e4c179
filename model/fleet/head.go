package fleet

import (
	"time"

	"kumquathinge/core/site"
)

// request is a request at a head.
type request struct {
	node   *node
	prompt int
	// left is the number of events that it will still get.
	left    int
	sentAt  time.Duration
	lastAt  time.Duration
	late    bool
	counted bool
}

// head emulates the engine of a group, or a plain server.
type head struct {
	fleet   *fleet
	index   int
	server  *site.Server
	running int
	// waiting are the requests whose prompts aren't processed, the first one is being
	// processed.
	waiting []*request
}

// submit adds a request to the head.
func (hd *head) submit(req *request) {
	hd.running++
	hd.waiting = append(hd.waiting, req)
	if len(hd.waiting) == 1 {
		hd.startPrompt()
	}
}

// slowdown returns the factor by which the head takes longer now.
func (hd *head) slowdown() float64 {
	if hd.fleet.cfg.Slowdown == nil {
		return 1
	}
	return hd.fleet.cfg.Slowdown(hd.index, hd.running, hd.fleet.now)
}

// startPrompt processes the first prompt that waits.
func (hd *head) startPrompt() {
	seconds := float64(hd.waiting[0].prompt) / hd.fleet.cfg.PromptsPerSec * hd.slowdown()
	hd.fleet.after(time.Duration(seconds*float64(time.Second)), hd.endPrompt)
}

// endPrompt sends the first event of a request.
func (hd *head) endPrompt() {
	req := hd.waiting[0]
	hd.waiting = hd.waiting[1:]
	if len(hd.waiting) > 0 {
		hd.startPrompt()
	}
	flt, bal := hd.fleet, req.node.balancer
	bal.RequestStarted(hd.server.ID, req.prompt)
	bal.RecordProgress(hd.server.ID, flt.clock())
	if !flt.cfg.Plain {
		hd.first(req)
	}
	req.lastAt = flt.now
	hd.scheduleEvent(req)
}

// first records the time to the first event or to the answer.
func (hd *head) first(req *request) {
	flt, nd := hd.fleet, req.node
	took := flt.now - req.sentAt
	req.late = took > flt.cfg.TargetFirst
	if nd.learned != nil {
		nd.learned.RecordFirst(hd.server.Run(), nd.balancer.Load(hd.server.ID, flt.clock()).Running, took, flt.cfg.TargetFirst)
	}
}

// gap records the time between two events.
func (hd *head) gap(req *request) {
	flt, nd := hd.fleet, req.node
	took := flt.now - req.lastAt
	req.late = req.late || took > flt.cfg.TargetGap
	if nd.learned != nil {
		nd.learned.RecordGap(hd.server.Run(), nd.balancer.Load(hd.server.ID, flt.clock()).Running, took, flt.cfg.TargetGap)
	}
}

// scheduleEvent schedules the next event of a request, or its end.
func (hd *head) scheduleEvent(req *request) {
	if req.left == 0 {
		hd.end(req)
		return
	}
	req.left--
	use := float64(hd.running) / float64(hd.fleet.cfg.Slots)
	gap := time.Duration(float64(hd.fleet.cfg.EventGap) * (1 + use) * hd.slowdown())
	hd.fleet.after(gap, func() {
		flt := hd.fleet
		if !flt.cfg.Plain {
			hd.gap(req)
		}
		req.lastAt = flt.now
		req.node.balancer.RecordProgress(hd.server.ID, flt.clock())
		hd.scheduleEvent(req)
	})
}

// end ends a request.
func (hd *head) end(req *request) {
	if hd.fleet.cfg.Plain {
		hd.first(req)
	}
	hd.running--
	req.node.balancer.RequestEnded(hd.server.ID, 0)
	if !req.counted {
		return
	}
	if req.late {
		hd.fleet.result.Late++
		return
	}
	hd.fleet.result.OnTime++
}
