package admit

import (
	"math"
	"time"
)

// orgQueue holds the items of one organisation that wait for one model.
type orgQueue struct {
	org          *orgState
	byPriority   [][]*entry // by priority, earliest effective deadline first
	waiting      int
	backlog      float64   // work waiting
	startTag     float64   // virtual start time: work per unit of weight
	activeIndex  int       // in modelQueue.active, or -1
	waitingSince time.Time // when the queue became non-empty
	servedWork   float64   // decaying sum of the work admitted since waitingSince
	servedAt     time.Time // when servedWork was last updated
}

// addServed adds admitted work to the service rate average.
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

// minServedWork is the work below which the service rate of a queue is
// considered unknown.
const minServedWork = 1.0

// rateTimeConstant is the time constant of the service rate average of a
// queue.
const rateTimeConstant = 10 * time.Second

// drainSeconds returns the time in seconds that the queue needs to serve the
// work ahead at its recent service rate, or zero if the rate is unknown. The
// rate is measured only while items wait.
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

// topPriority returns the most urgent priority that has items. It panics if
// the queue is empty.
func (oq *orgQueue) topPriority() int {
	for pri := len(oq.byPriority) - 1; pri >= 0; pri-- {
		if len(oq.byPriority[pri]) > 0 {
			return pri
		}
	}
	panic("admit: topPriority called on an empty queue")
}

// lastEntry returns the entry with the latest effective deadline among those
// of the least urgent priority. It panics if the queue is empty.
func (oq *orgQueue) lastEntry() *entry {
	for _, queue := range oq.byPriority {
		if len(queue) > 0 {
			return queue[len(queue)-1]
		}
	}
	panic("admit: lastEntry called on an empty queue")
}

// workAhead returns the work that waits at priority pri or a more urgent one.
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
