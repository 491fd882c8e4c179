package route

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// Sent requests are counted in slices of time, so that those before and after
// a load report can be told apart. Only slices in which something was sent or
// ended are kept.
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
	first  int // position of the oldest slice in ring
	slices int // slices in ring
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
	if grp.slices == 0 || grp.slice(grp.slices-1).at < cur {
		grp.push(slice{at: cur, net: grp.net})
	}
	grp.net += num
}

// slice returns the slice at a position from the oldest on.
func (grp *group) slice(pos int) *slice {
	return &grp.ring[(grp.first+pos)%sliceCount]
}

// push adds the latest slice, in place of the oldest if the ring is full.
func (grp *group) push(slc slice) {
	if grp.slices == sliceCount {
		grp.first = (grp.first + 1) % sliceCount
		grp.slices--
	}
	grp.slices++
	*grp.slice(grp.slices - 1) = slc
}

// since returns how many more requests were sent than ended since the start
// of the slice that holds at, or since the oldest slice if that is later.
func (grp *group) since(at time.Time) int {
	first := at.UnixNano() / int64(sliceTime)
	pos := sort.Search(grp.slices, func(pos int) bool { return grp.slice(pos).at >= first })
	if pos == grp.slices {
		return 0
	}
	return grp.net - grp.slice(pos).net
}

// estimate returns the number of requests that the group is believed to have:
// the last report and the change since, but no less than this entry VM's own.
func (grp *group) estimate(cnd *core.Candidate) float64 {
	own := cnd.InFlight
	if cnd.LoadAt.IsZero() {
		return float64(own)
	}
	sum := cnd.Load.Running + cnd.Load.Queued + grp.since(cnd.LoadAt)
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
