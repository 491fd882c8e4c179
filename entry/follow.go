package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/io/mirror"
	"kumquathinge/platform"
)

// Pauses of a follower.
const (
	// followPause follows a read that brought records, so that a burst of
	// changes takes few calls.
	followPause = 10 * time.Millisecond
	// retryPause is the first pause after a failed call; it doubles up to
	// retryPauseMax. The store takes 2,000 reads a second of all nodes.
	retryPause    = 60 * time.Millisecond
	retryPauseMax = 400 * time.Millisecond
	// behindTime is the time for which a read must have been held back before
	// a peer that knows more is asked instead: a slow store needs its time.
	behindTime = 300 * time.Millisecond
	// freshTime is that time for a node that has read nothing yet: the store
	// sends all records faster than a peer, also to many nodes at once.
	freshTime = 1500 * time.Millisecond
	// dutyPause is the pause between two looks whether this node reads the
	// store for its zone.
	dutyPause = 150 * time.Millisecond
	// mirrorBound is the longest wait for a peer's records.
	mirrorBound = 600 * time.Millisecond
	// mirrorPause is the mean pause after a peer has turned this node away or
	// didn't answer; a page takes about as long.
	mirrorPause = 50 * time.Millisecond
	// gatherPause is added to followPause for each node that this one tells of
	// changes, beyond gatherNodes: they arrive in fewer and larger parts where
	// many nodes take them.
	gatherPause = 800 * time.Microsecond
	gatherNodes = 12
)

// change is what a follower read.
type change struct {
	records []site.Record
	// gone are keys that the store dropped in a gap.
	gone []string
	// end is the offset after the last record that was read.
	end int64
	// mirrored records come from a peer that reaches the store.
	mirrored bool
}

// lead is a peer that has read further.
type lead struct {
	addr string
	end  int64
}

// news is what a reader tells the other nodes of its zone: the records of a
// topic from one offset to another.
type news struct {
	Topic   string          `cbor:"1,keyasint"`
	From    int64           `cbor:"2,keyasint"`
	End     int64           `cbor:"3,keyasint"`
	Records []mirror.Record `cbor:"4,keyasint"`
}

// follower follows one keyed topic of the store: it starts from the newest
// records, reads on by offset, and starts again after a gap. Only the readers
// of a zone ask the store; other nodes are told by them, and a node that lags
// behind reads from a peer that knows more. A record that is older than what
// is known of its key is never handed on.
type follower struct {
	sto   *platform.Store
	mir   *mirror.Client
	hea   *health
	log   *logrus.Logger
	met   *meter
	topic string
	wait  time.Duration
	apply func(change)
	// reads reports whether this node asks the store.
	reads func() bool
	// tell hands on what was read and returns the number of nodes that get it.
	tell func(news) int

	next  atomic.Int64
	pause time.Duration
	fresh bool
	// behind is a peer that has read further, wake tells of it. late is the
	// time since which one is known, in nanoseconds.
	behind atomic.Pointer[lead]
	wake   chan struct{}
	late   atomic.Int64
	inbox  chan news
	// poll ends the read in progress, which began at polled.
	poll   atomic.Pointer[context.CancelFunc]
	polled atomic.Int64

	mtx    sync.Mutex
	latest map[string]site.Record
}

// hint tells that a peer has read the topic to end. A peer of another zone is
// asked only if this node has lagged behind for a time, and any peer by a node
// that has read nothing yet.
func (fol *follower) hint(addr string, end int64, near bool, now time.Time) {
	if end <= fol.next.Load() {
		return
	}
	fol.late.CompareAndSwap(0, now.UnixNano())
	lag := now.UnixNano() - fol.late.Load()
	cut := fol.poll.Load()
	wait := time.Duration(0)
	switch {
	case fol.next.Load() == 0 && !fol.hea.down.Load():
		wait = freshTime
	case !near:
		wait = behindTime
	}
	if cut != nil && now.UnixNano()-fol.polled.Load() < int64(behindTime) || lag < int64(wait) {
		return
	}
	fol.behind.Store(&lead{addr: addr, end: end})
	if cut != nil {
		(*cut)()
	}
	select {
	case fol.wake <- struct{}{}:
	default:
	}
}

// reach notes how far the topic is read.
func (fol *follower) reach(end int64) {
	if fol.next.Swap(end) != end {
		fol.late.Store(0)
	}
}

// take gets what a reader tells. It never blocks.
func (fol *follower) take(nws news) {
	select {
	case fol.inbox <- nws:
	default:
		fol.met.peerErrors.Inc()
	}
}

// run follows until ctx ends.
func (fol *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if led := fol.behind.Swap(nil); led != nil && led.end > fol.next.Load() {
			fol.copy(ctx, led)
		}
		if !fol.fresh && !fol.reads() {
			fol.listen(ctx)
			continue
		}
		sent := time.Now()
		err := fol.step(ctx)
		switch {
		case err == nil:
			fol.fresh = false
			fol.pause = 0
			fol.up(sent)
		case errors.Is(err, errHinted):
		case errors.Is(err, platform.ErrTrimmed):
			fol.log.WithFields(logrus.Fields{"event": "store_gap", "topic": fol.topic, "from": fol.next.Load()}).Warn("records dropped before they were read; reading the newest ones")
			fol.fresh = true
			sleep(ctx, retryPause)
		default:
			fol.failed(ctx, err)
		}
	}
	return nil
}

// listen takes what readers tell, until it is time to look again whether this
// node is one.
func (fol *follower) listen(ctx context.Context) {
	tmr := time.NewTimer(dutyPause)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
	case <-tmr.C:
	case <-fol.wake:
	case nws := <-fol.inbox:
		if next := fol.next.Load(); nws.From <= next && nws.End > next {
			fol.merge(nws.Records, nws.End)
		}
	}
}

// merge applies records that came from a peer.
func (fol *follower) merge(raw []mirror.Record, end int64) {
	recs := make([]site.Record, 0, len(raw))
	for _, rec := range raw {
		recs = append(recs, site.Record{Key: rec.Key, Value: rec.Value, Offset: rec.Offset})
	}
	recs = fol.newer(recs)
	fol.fresh = false
	fol.reach(end)
	fol.apply(change{records: recs, end: end, mirrored: true})
}

// errHinted ends a read because a peer knows more.
var errHinted = errors.New("a peer has read further")

func (fol *follower) step(ctx context.Context) error {
	if fol.fresh {
		return fol.newest(ctx)
	}
	return fol.read(ctx)
}

// up notes that the store answered a call that was sent at the time.
func (fol *follower) up(sent time.Time) {
	if fol.topic == platform.TopicNodes {
		fol.hea.confirm(sent)
	}
	if fol.hea.ok(time.Now()) {
		fol.log.WithFields(logrus.Fields{"event": "dependency_regained", "dependency": "store"}).Info("the store answers again")
	}
}

// failed notes a failed call and waits, or until a peer knows more.
func (fol *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if fol.hea.fail() {
		fol.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": "store", "topic": fol.topic, "error": err}).Warn("the store doesn't answer")
	}
	fol.pause = min(max(retryPause, 2*fol.pause), retryPauseMax)
	tmr := time.NewTimer(fol.pause/2 + rand.N(fol.pause))
	defer tmr.Stop()
	select {
	case <-ctx.Done():
	case <-tmr.C:
	case <-fol.wake:
	}
}

// newest reads the newest record of each key.
func (fol *follower) newest(ctx context.Context) error {
	sent := time.Now()
	recs, end, err := fol.sto.Newest(ctx, fol.topic)
	fol.met.store(storeNewest, sent, err)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(recs))
	for _, rec := range recs {
		seen[rec.Key] = true
	}
	chg := change{records: fol.newer(recs)}
	if end >= fol.next.Load() {
		chg.gone = fol.missing(seen, end)
		fol.reach(end)
	}
	chg.end = fol.next.Load()
	fol.apply(chg)
	return nil
}

// read reads on from the last offset.
func (fol *follower) read(ctx context.Context) error {
	from := fol.next.Load()
	pctx, cut := context.WithCancel(ctx)
	defer cut()
	sent := time.Now()
	fol.polled.Store(sent.UnixNano())
	fol.poll.Store(&cut)
	recs, next, err := fol.sto.Poll(pctx, fol.topic, from, fol.wait)
	fol.poll.Store(nil)
	fol.met.store(storeFollow, sent, err)
	if err != nil {
		if pctx.Err() != nil && ctx.Err() == nil {
			return errHinted
		}
		return err
	}
	told := 0
	if len(recs) > 0 {
		told = fol.tell(news{Topic: fol.topic, From: from, End: next, Records: toMirror(recs)})
	}
	// The records go in before the end that peers are told.
	recs = fol.newer(recs)
	fol.reach(max(next, from))
	if len(recs) == 0 {
		return nil
	}
	fol.apply(change{records: recs, end: fol.next.Load()})
	sleep(ctx, followPause+time.Duration(max(0, told-gatherNodes))*gatherPause)
	return nil
}

// copy reads from a peer that has read further.
func (fol *follower) copy(ctx context.Context, led *lead) {
	fctx, cancel := context.WithTimeout(ctx, mirrorBound)
	defer cancel()
	from := fol.next.Load()
	pag, err := fol.mir.Fetch(fctx, led.addr, mirror.FetchRequest{Topic: fol.topic, From: from})
	fol.log.WithFields(logrus.Fields{
		"event": "mirror", "topic": fol.topic, "peer": led.addr, "from": from, "end": pag.End, "records": len(pag.Records), "error": err,
	}).Info("read from a peer that has read further")
	if err != nil || pag.End <= from {
		sleep(ctx, mirrorPause/2+rand.N(mirrorPause))
		return
	}
	fol.merge(pag.Records, pag.End)
	if pag.End < led.end {
		fol.behind.CompareAndSwap(nil, led)
	}
}

func toMirror(recs []site.Record) []mirror.Record {
	out := make([]mirror.Record, 0, len(recs))
	for _, rec := range recs {
		out = append(out, mirror.Record{Key: rec.Key, Value: rec.Value, Offset: rec.Offset})
	}
	return out
}

// newer notes and returns the records that are newer than what is known.
func (fol *follower) newer(recs []site.Record) []site.Record {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	out := recs[:0]
	for _, rec := range recs {
		if old, ok := fol.latest[rec.Key]; ok && old.Offset >= rec.Offset {
			continue
		}
		fol.latest[rec.Key] = rec
		out = append(out, rec)
	}
	return out
}

// missing notes and returns the keys below end that are not among those seen.
func (fol *follower) missing(seen map[string]bool, end int64) []string {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	var out []string
	for key, rec := range fol.latest {
		if !seen[key] && rec.Offset < end && len(rec.Value) > 0 {
			out = append(out, key)
			fol.latest[key] = site.Record{Key: key, Offset: end - 1}
		}
	}
	return out
}

// page returns the newest records of keys that changed from the offset on.
func (fol *follower) page(from int64) mirror.Page {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	var recs []site.Record
	for _, rec := range fol.latest {
		if rec.Offset >= from {
			recs = append(recs, rec)
		}
	}
	return mirror.BuildPage(toMirror(recs), fol.next.Load(), mirror.MaxPageBytes)
}

// mirrors serves the topics of the followers to peers.
type mirrors []*follower

var _ mirror.Source = mirrors(nil)

// Page implements mirror.Source.
func (mrs mirrors) Page(ask mirror.FetchRequest) (mirror.Page, bool) {
	for _, fol := range mrs {
		if fol.topic == ask.Topic {
			return fol.page(ask.From), true
		}
	}
	return mirror.Page{}, false
}

// sleep waits for the duration or the end of ctx.
func sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
	case <-tmr.C:
	}
}
