package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// Sent requests are counted in slices of time, so that those before and after
// a load report can be told apart.
const (
	sliceTime  = 50 * time.Millisecond
	sliceCount = 128
)

// group is what a Router knows of one group.
type group struct {
	name   core.GroupName
	id     uint32
	hash   uint64
	order  core.Offset
	epoch  uint32
	used   uint64
	slow   float64 // mean latency in seconds
	served int
	net    int // sent less ended, since the start
	ring   [sliceCount]slice
}

// slice holds the value of net when its time began.
type slice struct {
	at  int64 // in units of sliceTime
	net int
}

func newGroup(name core.GroupName, id uint32) *group {
	return &group{name: name, id: id, hash: xxhash.Sum64String(string(name))}
}

// follow takes in the group's order number. A new one means that the group
// was loaded anew: its cache is empty and its speed unknown.
func (grp *group) follow(ord core.Offset) {
	if ord == grp.order {
		return
	}
	grp.order = ord
	grp.epoch++
	grp.served = 0
}

func (grp *group) holder() holder { return holder{id: grp.id, epoch: grp.epoch} }

// sent counts a request sent (1) or ended (-1).
func (grp *group) sent(num int, now time.Time) {
	cur := now.UnixNano() / int64(sliceTime)
	slc := &grp.ring[uint64(cur)%sliceCount]
	if slc.at != cur {
		*slc = slice{at: cur, net: grp.net}
	}
	grp.net += num
}

// since returns how many more requests were sent than ended since the start
// of the slice that holds at. Times before the ring's reach count from its
// oldest slice.
func (grp *group) since(at, now time.Time) int {
	first := at.UnixNano() / int64(sliceTime)
	last := now.UnixNano() / int64(sliceTime)
	first = max(first, last-sliceCount+1)
	for cur := first; cur <= last; cur++ {
		if slc := grp.ring[uint64(cur)%sliceCount]; slc.at == cur {
			return grp.net - slc.net
		}
	}
	return 0
}

// estimate returns the number of requests that the group is believed to have:
// the last report and the change since, but no less than this entry VM's own.
func (grp *group) estimate(cnd *core.Candidate, now time.Time) float64 {
	own := cnd.InFlight
	if cnd.LoadAt.IsZero() {
		return float64(own)
	}
	sum := cnd.Load.Running + cnd.Load.Queued + grp.since(cnd.LoadAt, now)
	return float64(max(sum, own, 0))
}

func (grp *group) observe(latency time.Duration, gain float64) {
	grp.served++
	if grp.served == 1 {
		grp.slow = latency.Seconds()
		return
	}
	grp.slow += gain * (latency.Seconds() - grp.slow)
}
