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
	// batchDelay follows a read that brought records, so that a burst of
	// changes takes few calls.
	batchDelay = 10 * time.Millisecond
	// retryBackoff is the first pause after a failed call; it doubles up to
	// retryPauseMax. The store takes 2,000 reads a second of all nodes.
	retryBackoff    = 60 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	// peerReadDelay is the time for which a read must have been held back before
	// a peer that knows more is asked instead: a slow store needs its time.
	peerReadDelay = 300 * time.Millisecond
	// initialPeerReadDelay is that time for a node that has read nothing yet: the store
	// sends all records faster than a peer, also to many nodes at once.
	initialPeerReadDelay = 1500 * time.Millisecond
	// readerCheckInterval is the pause between two looks whether this node reads the
	// store for its zone.
	readerCheckInterval = 150 * time.Millisecond
	// peerReadTimeout is the longest wait for a peer's records.
	peerReadTimeout = 600 * time.Millisecond
	// peerRetryDelay is the mean pause after a peer has turned this node away or
	// didn't answer; a page takes about as long.
	peerRetryDelay = 50 * time.Millisecond
	// batchDelayPerNode is added to followPause for each node that this one tells of
	// changes, beyond gatherNodes: they arrive in fewer and larger parts where
	// many nodes take them.
	batchDelayPerNode  = 800 * time.Microsecond
	batchDelayMinNodes = 12
)

// topicChange is what a follower read.
type topicChange struct {
	records []site.Record
	// removedKeys are keys that the store dropped in a gap.
	removedKeys []string
	// endOffset is the offset after the last record that was read.
	endOffset int64
	// fromPeer records come from a peer that reaches the store.
	fromPeer bool
}

// peerPosition is a peer that has read further.
type peerPosition struct {
	addr      string
	endOffset int64
}

// topicUpdate is what a reader tells the other nodes of its zone: the records of a
// topic from one offset to another.
type topicUpdate struct {
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
	store        *platform.Store
	mirrorClient *mirror.Client
	health       *storeHealth
	log          *logrus.Logger
	metrics      *nodeMetrics
	topic        string
	pollTimeout  time.Duration
	apply        func(topicChange)
	// readsStore reports whether this node asks the store.
	readsStore func() bool
	// broadcast hands on what was read and returns the number of nodes that get it.
	broadcast func(topicUpdate) int

	nextOffset    atomic.Int64
	backoff       time.Duration
	needsSnapshot bool
	// aheadPeer is a peer that has read further, wake tells of it. late is the
	// time since which one is known, in nanoseconds.
	aheadPeer   atomic.Pointer[peerPosition]
	wake        chan struct{}
	behindSince atomic.Int64
	updates     chan topicUpdate
	// cancelRead ends the read in progress, which began at polled.
	cancelRead    atomic.Pointer[context.CancelFunc]
	readStartedAt atomic.Int64

	mtx         sync.Mutex
	latestByKey map[string]site.Record
}

// notePeerOffset tells that a peer has read the topic to end. A peer of another zone is
// asked only if this node has lagged behind for a time, and any peer by a node
// that has read nothing yet.
func (follower *follower) notePeerOffset(addr string, end int64, sameZone bool, now time.Time) {
	if end <= follower.nextOffset.Load() {
		return
	}
	follower.behindSince.CompareAndSwap(0, now.UnixNano())
	lag := now.UnixNano() - follower.behindSince.Load()
	cancelRead := follower.cancelRead.Load()
	wait := time.Duration(0)
	switch {
	case follower.nextOffset.Load() == 0 && !follower.health.down.Load():
		wait = initialPeerReadDelay
	case !sameZone:
		wait = peerReadDelay
	}
	if cancelRead != nil && now.UnixNano()-follower.readStartedAt.Load() < int64(peerReadDelay) || lag < int64(wait) {
		return
	}
	follower.aheadPeer.Store(&peerPosition{addr: addr, endOffset: end})
	if cancelRead != nil {
		(*cancelRead)()
	}
	select {
	case follower.wake <- struct{}{}:
	default:
	}
}

// advance notes how far the topic is read.
func (follower *follower) advance(end int64) {
	if follower.nextOffset.Swap(end) != end {
		follower.behindSince.Store(0)
	}
}

// enqueueUpdate gets what a reader tells. It never blocks.
func (follower *follower) enqueueUpdate(update topicUpdate) {
	select {
	case follower.updates <- update:
	default:
		follower.metrics.peerErrors.Inc()
	}
}

// run follows until ctx ends.
func (follower *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if ahead := follower.aheadPeer.Swap(nil); ahead != nil && ahead.endOffset > follower.nextOffset.Load() {
			follower.readFromPeer(ctx, ahead)
		}
		if !follower.needsSnapshot && !follower.readsStore() {
			follower.awaitUpdate(ctx)
			continue
		}
		sent := time.Now()
		err := follower.readOnce(ctx)
		switch {
		case err == nil:
			follower.needsSnapshot = false
			follower.backoff = 0
			follower.recordSuccess(sent)
		case errors.Is(err, errPeerAhead):
		case errors.Is(err, platform.ErrTrimmed):
			follower.log.WithFields(logrus.Fields{"event": "store_gap", "topic": follower.topic, "from": follower.nextOffset.Load()}).Warn("records dropped before they were read; reading the newest ones")
			follower.needsSnapshot = true
			sleep(ctx, retryBackoff)
		default:
			follower.handleFailure(ctx, err)
		}
	}
	return nil
}

// awaitUpdate takes what readers tell, until it is time to look again whether this
// node is one.
func (follower *follower) awaitUpdate(ctx context.Context) {
	timer := time.NewTimer(readerCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.wake:
	case update := <-follower.updates:
		if next := follower.nextOffset.Load(); update.From <= next && update.End > next {
			follower.applyPeerRecords(update.Records, update.End)
		}
	}
}

// applyPeerRecords applies records that came from a peer.
func (follower *follower) applyPeerRecords(raw []mirror.Record, end int64) {
	recs := make([]site.Record, 0, len(raw))
	for _, rec := range raw {
		recs = append(recs, site.Record{Key: rec.Key, Value: rec.Value, Offset: rec.Offset})
	}
	recs = follower.updateNewer(recs)
	follower.needsSnapshot = false
	follower.advance(end)
	follower.apply(topicChange{records: recs, endOffset: end, fromPeer: true})
}

// errPeerAhead ends a read because a peer knows more.
var errPeerAhead = errors.New("a peer has read further")

func (follower *follower) readOnce(ctx context.Context) error {
	if follower.needsSnapshot {
		return follower.readSnapshot(ctx)
	}
	return follower.readNext(ctx)
}

// recordSuccess notes that the store answered a call that was sent at the time.
func (follower *follower) recordSuccess(sent time.Time) {
	if follower.topic == platform.TopicNodes {
		follower.health.confirmTerm(sent)
	}
	if follower.health.recordSuccess(time.Now()) {
		follower.log.WithFields(logrus.Fields{"event": "dependency_regained", "dependency": "store"}).Info("the store answers again")
	}
}

// handleFailure notes a failed call and waits, or until a peer knows more.
func (follower *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if follower.health.recordFailure() {
		follower.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": "store", "topic": follower.topic, "error": err}).Warn("the store doesn't answer")
	}
	follower.backoff = min(max(retryBackoff, 2*follower.backoff), maxRetryBackoff)
	timer := time.NewTimer(follower.backoff/2 + rand.N(follower.backoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.wake:
	}
}

// readSnapshot reads the newest record of each key.
func (follower *follower) readSnapshot(ctx context.Context) error {
	sent := time.Now()
	recs, end, err := follower.store.Newest(ctx, follower.topic)
	follower.metrics.recordStoreCall(storeNewest, sent, err)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(recs))
	for _, rec := range recs {
		seen[rec.Key] = true
	}
	change := topicChange{records: follower.updateNewer(recs)}
	if end >= follower.nextOffset.Load() {
		change.removedKeys = follower.removeMissing(seen, end)
		follower.advance(end)
	}
	change.endOffset = follower.nextOffset.Load()
	follower.apply(change)
	return nil
}

// readNext reads on from the last offset.
func (follower *follower) readNext(ctx context.Context) error {
	from := follower.nextOffset.Load()
	pctx, cancelRead := context.WithCancel(ctx)
	defer cancelRead()
	sent := time.Now()
	follower.readStartedAt.Store(sent.UnixNano())
	follower.cancelRead.Store(&cancelRead)
	recs, next, err := follower.store.Poll(pctx, follower.topic, from, follower.pollTimeout)
	follower.cancelRead.Store(nil)
	follower.metrics.recordStoreCall(storeFollow, sent, err)
	if err != nil {
		if pctx.Err() != nil && ctx.Err() == nil {
			return errPeerAhead
		}
		return err
	}
	recipients := 0
	if len(recs) > 0 {
		recipients = follower.broadcast(topicUpdate{Topic: follower.topic, From: from, End: next, Records: toMirrorRecords(recs)})
	}
	// The records go in before the end that peers are told.
	recs = follower.updateNewer(recs)
	follower.advance(max(next, from))
	if len(recs) == 0 {
		return nil
	}
	follower.apply(topicChange{records: recs, endOffset: follower.nextOffset.Load()})
	sleep(ctx, batchDelay+time.Duration(max(0, recipients-batchDelayMinNodes))*batchDelayPerNode)
	return nil
}

// readFromPeer reads from a peer that has read further.
func (follower *follower) readFromPeer(ctx context.Context, ahead *peerPosition) {
	fctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	from := follower.nextOffset.Load()
	page, err := follower.mirrorClient.Fetch(fctx, ahead.addr, mirror.FetchRequest{Topic: follower.topic, From: from})
	follower.log.WithFields(logrus.Fields{
		"event": "mirror", "topic": follower.topic, "peer": ahead.addr, "from": from, "end": page.End, "records": len(page.Records), "error": err,
	}).Info("read from a peer that has read further")
	if err != nil || page.End <= from {
		sleep(ctx, peerRetryDelay/2+rand.N(peerRetryDelay))
		return
	}
	follower.applyPeerRecords(page.Records, page.End)
	if page.End < ahead.endOffset {
		follower.aheadPeer.CompareAndSwap(nil, ahead)
	}
}

func toMirrorRecords(recs []site.Record) []mirror.Record {
	out := make([]mirror.Record, 0, len(recs))
	for _, rec := range recs {
		out = append(out, mirror.Record{Key: rec.Key, Value: rec.Value, Offset: rec.Offset})
	}
	return out
}

// updateNewer notes and returns the records that are newer than what is known.
func (follower *follower) updateNewer(recs []site.Record) []site.Record {
	follower.mtx.Lock()
	defer follower.mtx.Unlock()
	out := recs[:0]
	for _, rec := range recs {
		if old, ok := follower.latestByKey[rec.Key]; ok && old.Offset >= rec.Offset {
			continue
		}
		follower.latestByKey[rec.Key] = rec
		out = append(out, rec)
	}
	return out
}

// removeMissing notes and returns the keys below end that are not among those seen.
func (follower *follower) removeMissing(seen map[string]bool, end int64) []string {
	follower.mtx.Lock()
	defer follower.mtx.Unlock()
	var out []string
	for key, rec := range follower.latestByKey {
		if !seen[key] && rec.Offset < end && len(rec.Value) > 0 {
			out = append(out, key)
			follower.latestByKey[key] = site.Record{Key: key, Offset: end - 1}
		}
	}
	return out
}

// page returns the newest records of keys that changed from the offset on.
func (follower *follower) page(from int64) mirror.Page {
	follower.mtx.Lock()
	defer follower.mtx.Unlock()
	var recs []site.Record
	for _, rec := range follower.latestByKey {
		if rec.Offset >= from {
			recs = append(recs, rec)
		}
	}
	return mirror.BuildPage(toMirrorRecords(recs), follower.nextOffset.Load(), mirror.MaxPageBytes)
}

// mirrorSource serves the topics of the followers to peers.
type mirrorSource []*follower

var _ mirror.Source = mirrorSource(nil)

// Page implements mirror.Source.
func (mirrors mirrorSource) Page(ask mirror.FetchRequest) (mirror.Page, bool) {
	for _, follower := range mirrors {
		if follower.topic == ask.Topic {
			return follower.page(ask.From), true
		}
	}
	return mirror.Page{}, false
}

// sleep waits for the duration or the end of ctx.
func sleep(ctx context.Context, dur time.Duration) {
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
