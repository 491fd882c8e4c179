package route

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// Sent requests are counted in time slices, so that those sent before and
// after a load report can be distinguished. Only slices in which a request was
// sent or ended are stored.
const (
	sliceWidth = 50 * time.Millisecond
	maxSlices  = 128
)

// group is the state of one group in a Router.
type group struct {
	name         core.GroupName
	id           uint32
	hash         uint64
	fencingToken core.Offset
	epoch        uint32
	lastUsed     uint64
	meanLatency  float64 // in seconds
	samples      int
	netSent      int // requests sent minus requests ended, in total
	slices       [maxSlices]timeSlice
	oldestSlice  int // index of the oldest slice in the ring buffer slices
	numSlices    int // number of slices in use
}

// timeSlice records the value of netSent at its start.
type timeSlice struct {
	start   int64 // in units of sliceWidth
	netSent int
}

func newGroup(name core.GroupName, id uint32) *group {
	return &group{name: name, id: id, hash: xxhash.Sum64String(string(name))}
}

// setFencingToken updates the fencing token. A new token means that the group
// was loaded again: its cache is empty and its latency unknown.
func (grp *group) setFencingToken(token core.Offset) {
	if token == grp.fencingToken {
		return
	}
	grp.fencingToken = token
	grp.epoch++
	grp.samples = 0
}

func (grp *group) asHolder() holder { return holder{groupID: grp.id, epoch: grp.epoch} }

// addSent counts a request as sent (num is 1) or ended (num is -1).
func (grp *group) addSent(num int, now time.Time) {
	slot := now.UnixNano() / int64(sliceWidth)
	if grp.numSlices == 0 || grp.sliceAt(grp.numSlices-1).start < slot {
		grp.pushSlice(timeSlice{start: slot, netSent: grp.netSent})
	}
	grp.netSent += num
}

// sliceAt returns the slice at index pos, counted from the oldest.
func (grp *group) sliceAt(pos int) *timeSlice {
	return &grp.slices[(grp.oldestSlice+pos)%maxSlices]
}

// pushSlice appends the latest slice. If the ring buffer is full, the slice
// replaces the oldest.
func (grp *group) pushSlice(ts timeSlice) {
	if grp.numSlices == maxSlices {
		grp.oldestSlice = (grp.oldestSlice + 1) % maxSlices
		grp.numSlices--
	}
	grp.numSlices++
	*grp.sliceAt(grp.numSlices - 1) = ts
}

// netSentSince returns the number of requests sent minus those ended since the
// start of the slice that contains at, or since the oldest slice if that is
// later.
func (grp *group) netSentSince(at time.Time) int {
	first := at.UnixNano() / int64(sliceWidth)
	pos := sort.Search(grp.numSlices, func(pos int) bool { return grp.sliceAt(pos).start >= first })
	if pos == grp.numSlices {
		return 0
	}
	return grp.netSent - grp.sliceAt(pos).netSent
}

// estimatedLoad returns the estimated number of requests at the group: the
// last report plus the change since, but at least the number that this entry
// VM itself has in flight.
func (grp *group) estimatedLoad(cand *core.Candidate) float64 {
	own := cand.InFlight
	if cand.LoadAt.IsZero() {
		return float64(own)
	}
	sum := cand.Load.Running + cand.Load.Queued + grp.netSentSince(cand.LoadAt)
	return float64(max(sum, own, 0))
}

func (grp *group) observeLatency(latency time.Duration, ewmaWeight float64) {
	grp.samples++
	if grp.samples == 1 {
		grp.meanLatency = latency.Seconds()
		return
	}
	grp.meanLatency += ewmaWeight * (latency.Seconds() - grp.meanLatency)
}
