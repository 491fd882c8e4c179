package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"kumquathinge/core/keyed"
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

// topicChange is a change of a topic, read from the store or a peer.
type topicChange struct {
	keyed.Change
	// fromPeer is set if the records come from a peer, which reaches the store.
	fromPeer bool
}

// peerPosition is the position up to which a peer has read a topic. newerContent is
// set if the peer has newer content than this node although it has not read
// further.
type peerPosition struct {
	addr         string
	next         site.Position
	newerContent bool
}

// topicUpdate holds the records of a topic from offset From up to, but not
// including, offset End. A node that reads the store broadcasts it to the other
// nodes of its zone.
type topicUpdate struct {
	Topic   string        `cbor:"1,keyasint"`
	From    int64         `cbor:"2,keyasint"`
	End     int64         `cbor:"3,keyasint"`
	Records []site.Record `cbor:"4,keyasint"`
	Era     int64         `cbor:"5,keyasint,omitempty"`
}

// follower follows one keyed topic of the store. It reads the newest record of
// each key, then reads on by offset, and starts over after a gap. Only a few
// nodes of a zone read the store and broadcast what they read to the others. A
// node that falls behind reads from a peer that is ahead. A record is never
// applied after a newer one of the same key. When the store begins another era, the
// nodes that read it read the newest records again, and the others a peer's.
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

	// eraChanged is called when this node has learned of another era.
	eraChanged func()

	backoff       time.Duration
	needsSnapshot bool
	// rejectedEra is the error of the last response that was rejected for its era, empty
	// after a successful read.
	rejectedEra string
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

	// confirmTries is how often the topic is still to be read at once, also by a node that
	// does not read the store, until that succeeds. confirming is set during such a read,
	// and confirmed is called after it, nil for nothing.
	confirmTries atomic.Int32
	confirming   bool
	confirmed    func()

	mtx     sync.Mutex
	replica *keyed.Replica
}

// next returns the position up to which the topic is read.
func (follower *follower) next() site.Position {
	follower.mtx.Lock()
	defer follower.mtx.Unlock()
	return follower.replica.Next()
}

// incomplete reports whether the content of the current era is read in part only.
func (follower *follower) incomplete() bool {
	follower.mtx.Lock()
	defer follower.mtx.Unlock()
	return follower.replica.Incomplete()
}

// update changes the replica and reports whether that was possible.
func (follower *follower) update(step func(rep *keyed.Replica) (keyed.Change, bool)) (keyed.Change, bool) {
	follower.mtx.Lock()
	before := follower.replica.Next()
	change, ok := step(follower.replica)
	follower.mtx.Unlock()
	if !ok {
		return change, false
	}
	if change.End() != before {
		follower.behindSince.Store(0)
	}
	restored := change.End().Era > before.Era && before != site.Position{}
	if restored {
		follower.log.WithFields(logrus.Fields{
			"event": "store_restored", "topic": follower.topic, "era": change.End().Era, "end": change.End().Offset, "before": before.Offset, "changed": len(change.Records()), "removed": len(change.Removed()),
		}).Warn("store came back from an older copy; reading its content again")
	}
	if change.End().Era > before.Era {
		follower.store.NoteEra(change.End().Era)
		follower.health.recordEra(change.End().Era, restored, time.Now())
		follower.eraChanged()
	}
	return change, true
}

// recheck makes the follower check at once whether the era of the store has
// changed. It ends a pending read.
func (follower *follower) recheck() {
	if cancelRead := follower.cancelRead.Load(); cancelRead != nil {
		(*cancelRead)()
	}
	select {
	case follower.wake <- struct{}{}:
	default:
	}
}

// notePeerPosition records the position up to which a peer has read the topic. If
// the peer is ahead, the follower reads from it: after peerReadDelay if the peer is
// in another zone, and after initialPeerReadDelay if this node has read nothing yet
// and the store responds.
func (follower *follower) notePeerPosition(addr string, pos site.Position, sameZone bool, now time.Time) {
	next := follower.next()
	if pos.Before(next) || pos == next && !follower.incomplete() {
		return
	}
	follower.behindSince.CompareAndSwap(0, follower.health.elapsed(now))
	lag := follower.health.elapsed(now) - follower.behindSince.Load()
	cancelRead := follower.cancelRead.Load()
	wait := time.Duration(0)
	switch {
	case next == (site.Position{}) && !follower.health.down.Load():
		wait = initialPeerReadDelay
	case !sameZone:
		wait = peerReadDelay
	}
	if cancelRead != nil && follower.health.elapsed(now)-follower.readStartedAt.Load() < int64(peerReadDelay) || lag < int64(wait) {
		return
	}
	follower.aheadPeer.Store(&peerPosition{addr: addr, next: pos})
	follower.recheck()
}

// noteNewerContent records that a peer that has not read further than this node has
// newer content: it kept it when the store lost it.
func (follower *follower) noteNewerContent(addr string, pos site.Position) {
	if follower.next().Before(pos) {
		return
	}
	follower.aheadPeer.Store(&peerPosition{addr: addr, next: pos, newerContent: true})
	follower.recheck()
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
		if ahead := follower.aheadPeer.Swap(nil); ahead != nil {
			follower.readFromPeer(ctx, ahead)
		}
		readsStore := follower.readsStore()
		follower.confirming = follower.confirmTries.Load() > 0
		readsStore = readsStore || follower.confirming
		if readsStore && (follower.store.Era() > follower.next().Era || follower.incomplete()) {
			follower.needsSnapshot = true
		}
		if !follower.needsSnapshot && !readsStore {
			follower.awaitUpdate(ctx)
			continue
		}
		sent := time.Now()
		err := follower.readOnce(ctx)
		switch {
		case err == nil:
			follower.needsSnapshot = false
			follower.backoff, follower.rejectedEra = 0, ""
			follower.recordSuccess(sent)
			follower.endConfirmation()
		case errors.Is(err, errReadCancelled):
		case !follower.needsSnapshot && isOtherEra(err) && follower.store.Era() > follower.next().Era:
		case errors.Is(err, platform.ErrUnknownOffset):
			follower.log.WithFields(logrus.Fields{"event": "store_gap", "topic": follower.topic, "from": follower.next().Offset, "era": follower.store.Era()}).Warn("store does not have the next record; reading the newest record of each key")
			follower.needsSnapshot = true
			if follower.store.Era() == follower.next().Era {
				sleep(ctx, retryBackoff)
			}
		default:
			follower.endConfirmTry()
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
		start, end := site.Position{Era: update.Era, Offset: update.From}, site.Position{Era: update.Era, Offset: update.End}
		if follower.next().Before(end) {
			follower.applyPeerRecords(func(rep *keyed.Replica) (keyed.Change, bool) { return rep.ApplyRecords(update.Records, start, end) })
		}
	}
}

// applyPeerRecords applies records from a peer. It reports whether they continue
// where this node has read to.
func (follower *follower) applyPeerRecords(step func(*keyed.Replica) (keyed.Change, bool)) bool {
	change, ok := follower.update(step)
	if ok {
		follower.needsSnapshot = false
		follower.apply(topicChange{Change: change, fromPeer: true})
	}
	return ok
}

var (
	// errReadCancelled reports that a read of the store was cancelled because a peer
	// is ahead or another era has begun.
	errReadCancelled = errors.New("the read was cancelled")
	// errOtherEra reports that a response is of another era than what this node has
	// read, so that its offsets mean other records.
	errOtherEra = errors.New("the response is of another era of the store")
)

// otherEra returns the error for a response of another era than that of next.
func otherEra(end, next site.Position) error {
	return eris.Wrapf(errOtherEra, "era %d after era %d", end.Era, next.Era)
}

// isOtherEra reports whether an error means that a response is of another era than what
// this node has read.
func isOtherEra(err error) bool {
	return errors.Is(err, errOtherEra) || errors.Is(err, platform.ErrEarlierEra)
}

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
	if isOtherEra(err) && err.Error() != follower.rejectedEra {
		follower.rejectedEra = err.Error()
		follower.log.WithFields(logrus.Fields{"event": "store_era", "topic": follower.topic, "error": err}).Error("rejected a response of another era of the store; it may be another store")
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
	change, ok := follower.update(func(rep *keyed.Replica) (keyed.Change, bool) { return rep.ApplySnapshot(recs, end) })
	if !ok {
		return otherEra(end, follower.next())
	}
	follower.apply(topicChange{Change: change})
	return nil
}

// readNext reads records from the next offset on and broadcasts them.
func (follower *follower) readNext(ctx context.Context) error {
	start := follower.next()
	readCtx, cancelRead := context.WithCancel(ctx)
	defer cancelRead()
	sent := time.Now()
	follower.readStartedAt.Store(follower.health.elapsed(sent))
	follower.cancelRead.Store(&cancelRead)
	recs, end, err := follower.store.Poll(readCtx, follower.topic, start.Offset, follower.pollWait())
	follower.cancelRead.Store(nil)
	follower.metrics.recordStoreCall(storeFollow, sent, err)
	if err != nil {
		if readCtx.Err() != nil && ctx.Err() == nil {
			return errReadCancelled
		}
		return err
	}
	if end.Era != start.Era {
		return otherEra(end, start)
	}
	recipients := 0
	if len(recs) > 0 {
		recipients = follower.broadcast(topicUpdate{Topic: follower.topic, From: start.Offset, End: end.Offset, Era: end.Era, Records: recs})
	}
	change, ok := follower.update(func(rep *keyed.Replica) (keyed.Change, bool) { return rep.ApplyRecords(recs, start, end) })
	switch {
	case !ok:
		return errOtherEra
	case len(recs) == 0:
		return nil
	}
	follower.apply(topicChange{Change: change})
	sleep(ctx, min(maxBatchDelay, batchDelay+time.Duration(max(0, recipients-batchDelayMinNodes))*batchDelayPerNode))
	return nil
}

// readFromPeer reads from a peer that is ahead.
func (follower *follower) readFromPeer(ctx context.Context, ahead *peerPosition) {
	req := follower.request()
	switch {
	case ahead.newerContent:
		req = keyed.Request{}
	case ahead.next.Before(req.From) || ahead.next == req.From && !req.Partial:
		return
	}
	fetchCtx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	page, err := follower.mirrorClient.Fetch(fetchCtx, ahead.addr, mirror.NewFetchRequest(follower.topic, req))
	follower.log.WithFields(logrus.Fields{
		"event": "mirror", "topic": follower.topic, "peer": ahead.addr, "from": req.From.Offset, "era": page.End.Era, "end": page.End.Offset, "records": len(page.Records), "more": page.More, "error": err,
	}).Info("read from a peer that is ahead")
	if err != nil || !follower.applyPeerRecords(func(rep *keyed.Replica) (keyed.Change, bool) { return rep.ApplyPage(page) }) {
		sleep(ctx, peerRetryDelay/2+rand.N(peerRetryDelay))
		return
	}
	if page.More && !ahead.newerContent {
		follower.aheadPeer.CompareAndSwap(nil, ahead)
	}
}

// request returns the request to a peer for what this node has not read.
func (follower *follower) request() keyed.Request {
	follower.mtx.Lock()
	defer follower.mtx.Unlock()
	return follower.replica.Request()
}

// page returns the response to a peer's request.
func (follower *follower) page(req keyed.Request) keyed.Page {
	follower.mtx.Lock()
	defer follower.mtx.Unlock()
	return follower.replica.Page(req, mirror.MaxPageBytes)
}

// mirrorSource serves the records of the followers to peers.
type mirrorSource []*follower

var _ mirror.Source = mirrorSource(nil)

// Page implements mirror.Source.
func (source mirrorSource) Page(req mirror.FetchRequest) (keyed.Page, bool) {
	for _, follower := range source {
		if follower.topic == req.Topic {
			return follower.page(req.Request()), true
		}
	}
	return keyed.Page{}, false
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
