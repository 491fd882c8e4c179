package admit

import (
	"math"
	"time"
)

// flow is one organisation's waiting items for one model.
type flow struct {
	org     *org
	queues  [][]*entry // by priority, first due first
	items   int
	backlog float64   // work
	tag     float64   // work per weight
	index   int       // in pool.active, or -1
	since   time.Time // when it began to wait
	served  float64   // decaying sum of the work admitted since
	at      time.Time // of served
}

// serve counts work as admitted.
func (flw *flow) serve(work float64, now time.Time) {
	flw.decay(now)
	flw.served += work
}

func (flw *flow) decay(now time.Time) {
	if ela := now.Sub(flw.at); ela > 0 {
		flw.served *= math.Exp(-ela.Seconds() / rateTime.Seconds())
		flw.at = now
	}
}

// minServed is the work below which a flow's rate is unknown.
const minServed = 1.0

// rateTime is the time constant of the rate at which a flow is served.
const rateTime = 10 * time.Second

// pace returns the seconds in which the flow gets through the work ahead at
// the rate that it got lately while items of it waited, zero if that is not
// known yet.
func (flw *flow) pace(ahead float64, now time.Time) float64 {
	span := now.Sub(flw.since)
	if flw.items == 0 || span < rateTime/4 {
		return 0
	}
	flw.decay(now)
	if flw.served < minServed {
		return 0
	}
	weight := 1 - math.Exp(-span.Seconds()/rateTime.Seconds())
	return ahead * rateTime.Seconds() * weight / flw.served
}

// top returns the most urgent priority that has items. It panics if there is
// none.
func (flw *flow) top() int {
	for pri := len(flw.queues) - 1; pri >= 0; pri-- {
		if len(flw.queues[pri]) > 0 {
			return pri
		}
	}
	panic("admit: top of an empty flow")
}

// bottom returns the item due last of the least urgent priority. It panics if
// there is none.
func (flw *flow) bottom() *entry {
	for _, que := range flw.queues {
		if len(que) > 0 {
			return que[len(que)-1]
		}
	}
	panic("admit: bottom of an empty flow")
}

// ahead returns the work that waits at the priority or a more urgent one.
func (flw *flow) ahead(pri int) float64 {
	if pri == 0 {
		return flw.backlog
	}
	var sum float64
	for _, que := range flw.queues[pri:] {
		for _, ent := range que {
			sum += ent.item.Work
		}
	}
	return sum
}
