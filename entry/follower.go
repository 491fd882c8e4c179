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

// Delays and timeouts of a follower.
const (
	// batchDelay is the delay after a read that returned records, so that a
	// burst of changes takes few calls.
	batchDelay = 10 * time.Millisecond
	// retryBackoff is the initial backoff after a failed call. It doubles up to
	// maxRetryBackoff. The store accepts 2,000 reads per second from all nodes
	// together.
	retryBackoff    = 60 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	// peerReadDelay is how long a store read must have been pending before it
	// is cancelled in favour of a peer that is ahead, so that a slow store has
	// time to respond. It is also how long this node must have lagged behind
	// before it reads from a peer in another zone.
	peerReadDelay = 300 * time.Millisecond
	// initialPeerReadDelay replaces the required lag while the node has read
	// nothing yet: the store sends all records faster than a peer, even to many
	// nodes at once.
	initialPeerReadDelay = 1500 * time.Millisecond
	// readerCheckInterval is the interval at which a node that does not read
	// the store checks whether it should.
	readerCheckInterval = 150 * time.Millisecond
	// peerReadTimeout limits a fetch of records from a peer.
	peerReadTimeout = 600 * time.Millisecond
	// peerRetryDelay is the mean delay after a peer refused or failed to send
	// records. Sending a page takes about as long.
	peerRetryDelay = 50 * time.Millisecond
	// batchDelayPerNode is added to batchDelay for each node beyond
	// batchDelayMinNodes to which this node broadcasts, so that large zones get
	// fewer and larger updates.
	batchDelayPerNode  = 800 * time.Microsecond
	batchDelayMinNodes = 12
	maxBatchDelay      = 40 * time.Millisecond
)

// topicChange is a set of changes of a topic, read from the store or a peer.
type topicChange struct {
	records []site.Record
	// removedKeys are keys whose records the store removed in a part of the
	// topic that this node did not read.
	removedKeys []string
	// endOffset is the offset up to which the topic is read.
	endOffset int64
	// fromPeer is set if the records come from a peer, which reaches the store.
	fromPeer bool
}

// peerPosition is a peer that has read a topic further than this node, and the
// offset up to which it has read.
type peerPosition struct {
	addr      string
	endOffset int64
}

// topicUpdate holds the records of a topic from offset From up to, but not
// including, offset End. A node that reads the store broadcasts it to the other
// nodes of its zone.
type topicUpdate struct {
	Topic   string          `cbor:"1,keyasint"`
	From    int64           `cbor:"2,keyasint"`
	End     int64           `cbor:"3,keyasint"`
	Records []mirror.Record `cbor:"4,keyasint"`
}

// follower follows one keyed topic of the store. It reads the newest record of
// each key, then reads on by offset, and starts over after a gap. Only a few
// nodes of a zone read the store and broadcast what they read to the others. A
// node that falls behind reads from a peer that is ahead. A record is never
// applied after a newer one of the same key.
type follower struct {
	store        *platform.Store
	mirrorClient *mirror.Client
	health       *storeHealth
	log          *logrus.Logger
	metrics      *nodeMetrics
	topic        string
	pollTimeout  time.Duration
	apply        func(topicChange)
	// readsStore reports whether this node reads the store.
	readsStore func() bool
	// broadcast sends an update to the other nodes of the zone and returns
	// their number.
	broadcast func(topicUpdate) int

	nextOffset    atomic.Int64
	backoff       time.Duration
	needsSnapshot bool
	// aheadPeer is a peer that has read further, and wake signals that it was
	// set. behindSince is when this node learned that a peer is ahead, as
	// storeHealth.elapsed returns it, or zero.
	aheadPeer   atomic.Pointer[peerPosition]
	wake        chan struct{}
	behindSince atomic.Int64
	updates     chan topicUpdate
	// cancelRead cancels the pending store read, which began at readStartedAt
	// as storeHealth.elapsed returns it.
	cancelRead    atomic.Pointer[context.CancelFunc]
	readStartedAt atomic.Int64

	mtx         sync.Mutex
	latestByKey map[string]site.Record
}

// notePeerOffset records that a peer has read the topic up to end. If the peer
// is ahead, the follower reads from it: after peerReadDelay if the peer is in
// another zone, and after initialPeerReadDelay if this node has read nothing
// yet and the store responds.
func (follower *follower) notePeerOffset(addr string, end int64, sameZone bool, now time.Time) {
	if end <= follower.nextOffset.Load() {
		return
	}
	follower.behindSince.CompareAndSwap(0, follower.health.elapsed(now))
	lag := follower.health.elapsed(now) - follower.behindSince.Load()
	cancelRead := follower.cancelRead.Load()
	wait := time.Duration(0)
	switch {
	case follower.nextOffset.Load() == 0 && !follower.health.down.Load():
		wait = initialPeerReadDelay
	case !sameZone:
		wait = peerReadDelay
	}
	if cancelRead != nil && follower.health.elapsed(now)-follower.readStartedAt.Load() < int64(peerReadDelay) || lag < int64(wait) {
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

// advance sets the offset up to which the topic is read.
func (follower *follower) advance(end int64) {
	if follower.nextOffset.Swap(end) != end {
		follower.behindSince.Store(0)
	}
}

// enqueueUpdate queues an update from a peer. It never blocks: an update is
// dropped if the queue is full.
func (follower *follower) enqueueUpdate(update topicUpdate) {
	select {
	case follower.updates <- update:
	default:
		follower.metrics.peerErrors.Inc()
	}
}

// run follows the topic until ctx is done.
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
			follower.log.WithFields(logrus.Fields{"event": "store_gap", "topic": follower.topic, "from": follower.nextOffset.Load(), "era": follower.store.Era()}).Warn("store removed records before they were read; reading the newest record of each key")
			follower.needsSnapshot = true
			sleep(ctx, retryBackoff)
		default:
			follower.handleFailure(ctx, err)
		}
	}
	return nil
}

// awaitUpdate waits for an update from a peer and applies it. It returns after
// readerCheckInterval at the latest.
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

// applyPeerRecords applies records from a peer that has read up to end.
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

// errPeerAhead reports that a store read was cancelled because a peer is ahead.
var errPeerAhead = errors.New("a peer is ahead")

func (follower *follower) readOnce(ctx context.Context) error {
	if follower.needsSnapshot {
		return follower.readSnapshot(ctx)
	}
	return follower.readNext(ctx)
}

// recordSuccess records that the store responded to a call sent at the time. A
// read of the nodes topic also confirms the term of the orderer.
func (follower *follower) recordSuccess(sent time.Time) {
	if follower.topic == platform.TopicNodes {
		follower.health.confirmTerm(sent)
	}
	if follower.health.recordSuccess(time.Now()) {
		follower.log.WithFields(logrus.Fields{"event": "dependency_regained", "dependency": "store"}).Info("store responds again")
	}
}

// handleFailure records a failed call and waits for the backoff, or until a
// peer is ahead.
func (follower *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if follower.health.recordFailure() {
		follower.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": "store", "topic": follower.topic, "error": err}).Warn("store does not respond")
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

// readNext reads records from the next offset on and broadcasts them.
func (follower *follower) readNext(ctx context.Context) error {
	from := follower.nextOffset.Load()
	readCtx, cancelRead := context.WithCancel(ctx)
	defer cancelRead()
	sent := time.Now()
	follower.readStartedAt.Store(follower.health.elapsed(sent))
	follower.cancelRead.Store(&cancelRead)
	recs, next, err := follower.store.Poll(readCtx, follower.topic, from, follower.pollTimeout)
	follower.cancelRead.Store(nil)
	follower.metrics.recordStoreCall(storeFollow, sent, err)
	if err != nil {
		if readCtx.Err() != nil && ctx.Err() == nil {
			return errPeerAhead
		}
		return err
	}
	recipients := 0
	if len(recs) > 0 {
		recipients = follower.broadcast(topicUpdate{Topic: follower.topic, From: from, End: next, Records: toMirrorRecords(recs)})
	}
	// The records are stored before the offset advances, because peers are sent
	// the offset and then fetch the records.
	recs = follower.updateNewer(recs)
	follower.advance(max(next, from))
	if len(recs) == 0 {
		return nil
	}
	follower.apply(topicChange{records: recs, endOffset: follower.nextOffset.Load()})
	sleep(ctx, min(maxBatchDelay, batchDelay+time.Duration(max(0, recipients-batchDelayMinNodes))*batchDelayPerNode))
	return nil
}

// readFromPeer reads from a peer that is ahead.
func (follower *follower) readFromPeer(ctx context.Context, ahead *peerPosition) {
	fetchCtx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	from := follower.nextOffset.Load()
	page, err := follower.mirrorClient.Fetch(fetchCtx, ahead.addr, mirror.FetchRequest{Topic: follower.topic, From: from})
	follower.log.WithFields(logrus.Fields{
		"event": "mirror", "topic": follower.topic, "peer": ahead.addr, "from": from, "end": page.End, "records": len(page.Records), "error": err,
	}).Info("read from a peer that is ahead")
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

// updateNewer stores and returns the records that are newer than the stored
// ones of their keys. It overwrites recs.
func (follower *follower) updateNewer(recs []site.Record) []site.Record {
	follower.mtx.Lock()
	defer follower.mtx.Unlock()
	out := recs[:0]
	for _, rec := range recs {
		if old, ok := follower.latestByKey[rec.Key]; ok && old.Offset >= rec.Offset {
			if old.Offset > rec.Offset {
				follower.log.WithFields(logrus.Fields{"event": "record_ignored", "topic": follower.topic, "key": rec.Key, "offset": rec.Offset, "known": old.Offset, "era": follower.store.Era()}).Info("ignoring a record with a lower offset than the known one of its key")
			}
			continue
		}
		follower.latestByKey[rec.Key] = rec
		out = append(out, rec)
	}
	return out
}

// removeMissing marks as removed, and returns, the keys whose records precede
// end and that are not in seen.
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

// page returns the newest records of the keys that changed at or after offset
// from.
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

// mirrorSource serves the records of the followers to peers.
type mirrorSource []*follower

var _ mirror.Source = mirrorSource(nil)

// Page implements mirror.Source.
func (source mirrorSource) Page(req mirror.FetchRequest) (mirror.Page, bool) {
	for _, follower := range source {
		if follower.topic == req.Topic {
			return follower.page(req.From), true
		}
	}
	return mirror.Page{}, false
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, dur time.Duration) {
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
