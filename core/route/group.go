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
	sliceWidth = 50 * time.Millisecond
	maxSlices  = 128
)

// group is what a Router knows of one group.
type group struct {
	name         core.GroupName
	id           uint32
	hash         uint64
	fencingToken core.Offset
	epoch        uint32
	lastUsed     uint64
	meanLatency  float64 // mean latency in seconds
	samples      int
	netSent      int // sent less ended, since the start
	slices       [maxSlices]timeSlice
	oldestSlice  int // position of the oldest slice in ring
	numSlices    int // slices in ring
}

// timeSlice holds the value of net when its time began.
type timeSlice struct {
	start   int64 // in units of sliceTime
	netSent int
}

func newGroup(name core.GroupName, id uint32) *group {
	return &group{name: name, id: id, hash: xxhash.Sum64String(string(name))}
}

// setFencingToken takes in the group's order number. A new one means that the group
// was loaded anew: its cache is empty and its speed unknown.
func (grp *group) setFencingToken(token core.Offset) {
	if token == grp.fencingToken {
		return
	}
	grp.fencingToken = token
	grp.epoch++
	grp.samples = 0
}

func (grp *group) asHolder() holder { return holder{groupID: grp.id, epoch: grp.epoch} }

// addSent counts a request sent (1) or ended (-1).
func (grp *group) addSent(num int, now time.Time) {
	slot := now.UnixNano() / int64(sliceWidth)
	if grp.numSlices == 0 || grp.sliceAt(grp.numSlices-1).start < slot {
		grp.pushSlice(timeSlice{start: slot, netSent: grp.netSent})
	}
	grp.netSent += num
}

// sliceAt returns the slice at a position from the oldest on.
func (grp *group) sliceAt(pos int) *timeSlice {
	return &grp.slices[(grp.oldestSlice+pos)%maxSlices]
}

// pushSlice adds the latest slice, in place of the oldest if the ring is full.
func (grp *group) pushSlice(ts timeSlice) {
	if grp.numSlices == maxSlices {
		grp.oldestSlice = (grp.oldestSlice + 1) % maxSlices
		grp.numSlices--
	}
	grp.numSlices++
	*grp.sliceAt(grp.numSlices - 1) = ts
}

// netSentSince returns how many more requests were sent than ended since the start
// of the slice that holds at, or since the oldest slice if that is later.
func (grp *group) netSentSince(at time.Time) int {
	first := at.UnixNano() / int64(sliceWidth)
	pos := sort.Search(grp.numSlices, func(pos int) bool { return grp.sliceAt(pos).start >= first })
	if pos == grp.numSlices {
		return 0
	}
	return grp.netSent - grp.sliceAt(pos).netSent
}

// estimatedLoad returns the number of requests that the group is believed to have:
// the last report and the change since, but no less than this entry VM's own.
func (grp *group) estimatedLoad(cand *core.Candidate) float64 {
	own := cand.InFlight
	if cand.LoadAt.IsZero() {
		return float64(own)
	}
	sum := cand.Load.Running + cand.Load.Queued + grp.netSentSince(cand.LoadAt)
	return float64(max(sum, own, 0))
}

func (grp *group) observeLatency(latency time.Duration, gain float64) {
	grp.samples++
	if grp.samples == 1 {
		grp.meanLatency = latency.Seconds()
		return
	}
	grp.meanLatency += gain * (latency.Seconds() - grp.meanLatency)
}
