package admit

import (
	"math"
	"time"
)

// orgQueue is one organisation's waiting items for one model.
type orgQueue struct {
	org          *orgState
	byPriority   [][]*entry // by priority, first due first
	waiting      int
	backlog      float64   // work
	startTag     float64   // work per weight
	activeIndex  int       // in pool.active, or -1
	waitingSince time.Time // when it began to wait
	servedWork   float64   // decaying sum of the work admitted since
	servedAt     time.Time // of served
}

// addServed counts work as admitted.
func (oq *orgQueue) addServed(work float64, now time.Time) {
	oq.decay(now)
	oq.servedWork += work
}

func (oq *orgQueue) decay(now time.Time) {
	if elapsed := now.Sub(oq.servedAt); elapsed > 0 {
		oq.servedWork *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		oq.servedAt = now
	}
}

// minServedWork is the work below which a flow's rate is unknown.
const minServedWork = 1.0

// rateTimeConstant is the time constant of the rate at which a flow is served.
const rateTimeConstant = 10 * time.Second

// drainSeconds returns the seconds in which the flow gets through the work ahead at
// the rate that it got lately while items of it waited, zero if that is not
// known yet.
func (oq *orgQueue) drainSeconds(ahead float64, now time.Time) float64 {
	span := now.Sub(oq.waitingSince)
	if oq.waiting == 0 || span < rateTimeConstant/4 {
		return 0
	}
	oq.decay(now)
	if oq.servedWork < minServedWork {
		return 0
	}
	weight := 1 - math.Exp(-span.Seconds()/rateTimeConstant.Seconds())
	return ahead * rateTimeConstant.Seconds() * weight / oq.servedWork
}

// topPriority returns the most urgent priority that has items. It panics if there is
// none.
func (oq *orgQueue) topPriority() int {
	for pri := len(oq.byPriority) - 1; pri >= 0; pri-- {
		if len(oq.byPriority[pri]) > 0 {
			return pri
		}
	}
	panic("admit: top of an empty flow")
}

// lastEntry returns the item due last of the least urgent priority. It panics if
// there is none.
func (oq *orgQueue) lastEntry() *entry {
	for _, queue := range oq.byPriority {
		if len(queue) > 0 {
			return queue[len(queue)-1]
		}
	}
	panic("admit: bottom of an empty flow")
}

// workAhead returns the work that waits at the priority or a more urgent one.
func (oq *orgQueue) workAhead(pri int) float64 {
	if pri == 0 {
		return oq.backlog
	}
	var sum float64
	for _, queue := range oq.byPriority[pri:] {
		for _, ent := range queue {
			sum += ent.item.Work
		}
	}
	return sum
}
