package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
)

// logReader is the state of the reads of the log. endsEarly states that the
// log ends before the state's offset, earlierEra that the log stated an earlier
// era than it or a peer did before.
type logReader struct {
	inFlight     bool
	sentAt       time.Time
	nextAt       time.Time
	nextUrgentAt time.Time
	failures     int
	reachable    bool
	endsEarly    bool
	earlierEra   bool
	firstOffset  core.Offset
	nextOffset   core.Offset
}

// peerReader is the state of the calls to peers. peersQueried counts the calls
// since the start or since the last call of queryPeerStates.
type peerReader struct {
	inFlight     bool
	nextAt       time.Time
	lastPeer     int
	peersQueried int
	needState    bool
}

// maxStartPeers limits the number of peers that a starting follower queries.
const maxStartPeers = 4

// urgentReadFactor is the factor by which the log is read more often while a
// proposal awaits its read-back.
const urgentReadFactor = 16

// backoff returns the delay before the next attempt, which doubles with each
// failure up to MaxRetryDelay.
func backoff(timings Timings, failures int) time.Duration {
	delay := timings.MinRetryDelay
	for ; failures > 1 && delay < timings.MaxRetryDelay; failures-- {
		delay *= 2
	}
	return min(delay, timings.MaxRetryDelay)
}

func (fol *Follower) startLogRead() {
	if fol.logReads.inFlight || fol.state.Err() != nil {
		return
	}
	urgent := fol.proposer.awaitingReadBack() && fol.ready && fol.gapEnd == 0 && fol.logReads.failures == 0
	if fol.now.Before(fol.logReads.nextUrgentAt) || (fol.now.Before(fol.logReads.nextAt) && !urgent) {
		return
	}
	from := fol.state.Offset() + 1
	if fol.gapEnd != 0 {
		if !fol.scanDue() {
			return
		}
		from = fol.scan.nextOffset
	}
	fol.logReads.inFlight = true
	fol.logReads.sentAt = fol.now
	fol.emit(ReadLog{From: from, Max: fol.pageSize(), Wait: fol.readWait()})
}

// pageSize returns the number of entries to request. It halves with each
// failure, since a page may be too large for the connection.
func (fol *Follower) pageSize() int {
	num := fol.cfg.Timings.MaxPageEntries
	for range fol.logReads.failures {
		num /= 2
	}
	return max(num, 1)
}

// readWait returns how long a read of the log may wait for a new entry.
func (fol *Follower) readWait() time.Duration {
	if !fol.ready || fol.gapEnd != 0 {
		return 0
	}
	return fol.cfg.Timings.ReadWait
}

func (fol *Follower) handleLogRead(event LogRead) {
	fol.logReads.inFlight = false
	gap := core.CodeOf(event.Err) == core.CodeLogGap
	if event.Err != nil && !gap {
		fol.handleLogFailure()
		return
	}
	fol.logReads.earlierEra = event.Page.Era < fol.latestEra()
	if fol.logReads.earlierEra {
		fol.handleLogFailure()
		return
	}
	if event.Page.Era > fol.era && !fol.continueInEra(event.Page.Era) {
		return
	}
	if event.Page.First > 0 {
		fol.logReads.firstOffset = event.Page.First
	}
	if event.Page.Next > 0 {
		fol.logReads.nextOffset = event.Page.Next
	}
	if gap {
		fol.recordLogReply()
		fol.handleGap(max(event.Page.First, 1))
		return
	}
	fol.handleLogPage(event)
}

// continueInEra enters the era of a page. It returns false if the log must be read
// from its beginning, since the page was requested for an earlier era.
func (fol *Follower) continueInEra(era core.Era) bool {
	fromStart := fol.state.Offset() == 0 && fol.gapEnd == 0
	fol.enterEra(era)
	if !fromStart {
		fol.recordLogReply()
		fol.logReads.nextAt, fol.logReads.nextUrgentAt = fol.now, fol.now
	}
	return fromStart
}

// handleLogFailure delays the next read of the log. Peers are queried meanwhile.
func (fol *Follower) handleLogFailure() {
	fol.logReads.failures++
	fol.setLogReachable(false)
	fol.logReads.nextAt = fol.now.Add(backoff(fol.cfg.Timings, fol.logReads.failures))
	if fol.gapEnd != 0 {
		fol.queryPeerStates()
	}
}

func (fol *Follower) recordLogReply() {
	fol.logReads.failures = 0
	fol.setLogReachable(true)
	fol.logReads.nextAt = fol.now.Add(fol.cfg.Timings.ReadInterval)
	fol.logReads.nextUrgentAt = fol.now.Add(fol.cfg.Timings.ReadInterval / urgentReadFactor)
}

func (fol *Follower) setLogReachable(reachable bool) {
	if fol.logReads.reachable != reachable {
		fol.logReads.reachable = reachable
		fol.emit(Publish{})
	}
}

func (fol *Follower) handleLogPage(event LogRead) {
	fol.recordLogReply()
	if fol.gapEnd != 0 {
		fol.handleScanPage(event.Page)
		return
	}
	fol.applyEntries(event.Page.Entries)
	end := fol.state.Offset() + 1
	fol.logReads.endsEarly = event.Page.Next > 0 && event.Page.Next < end
	if event.Page.Next > end {
		fol.logReads.nextAt = fol.now
		fol.logReads.nextUrgentAt = fol.now
		return
	}
	if fol.logReads.endsEarly || fol.state.Err() != nil {
		return
	}
	fol.leaveFormerState()
	if !fol.ready {
		fol.ready = true
		fol.emit(Publish{})
	}
	fol.endEarlierBatches()
	fol.confirmedAt = event.SentAt
}

// handleGap records that the log no longer contains the entries that follow
// the state; first is the offset of the oldest entry it contains. After a return
// of the log it is searched for a snapshot before peers are queried, most of which
// still have the state of the earlier era.
func (fol *Follower) handleGap(first core.Offset) {
	if first <= fol.state.Offset()+1 {
		return
	}
	if fol.gapEnd == 0 {
		fol.emit(Publish{})
	}
	fol.gapEnd = first
	fol.scan = nil
	if fol.former == nil {
		fol.queryPeerStates()
	}
}

// queryPeerStates starts another round in which every peer is queried for its
// state.
func (fol *Follower) queryPeerStates() {
	fol.peerReads.needState = true
	fol.peerReads.peersQueried = 0
}

// logUnresponsive reports whether the last read of the log failed or the
// pending one exceeds ReadTimeout.
func (fol *Follower) logUnresponsive() bool {
	if fol.logReads.failures > 0 {
		return true
	}
	return fol.logReads.inFlight && fol.now.Sub(fol.logReads.sentAt) > fol.cfg.Timings.ReadTimeout
}

func (fol *Follower) startPeerRead() {
	pr := &fol.peerReads
	if pr.inFlight || fol.lastTick.PeerCount == 0 || fol.now.Before(pr.nextAt) || fol.state.Err() != nil {
		return
	}
	starting := !fol.ready && fol.former == nil && pr.peersQueried < fol.startQuorum()
	switch {
	case pr.needState || (starting && fol.state.Offset() == 0):
		pr.inFlight = true
		pr.peersQueried++
		fol.emit(ReadState{Peer: fol.pickPeer()})
	case starting || fol.logUnresponsive():
		pr.inFlight = true
		pr.peersQueried++
		fol.emit(ReadPeer{Peer: fol.pickPeer(), From: fol.state.Offset() + 1, Max: fol.cfg.Timings.MaxPageEntries})
	}
}

// startQuorum returns how many peers must be queried before a state from a
// peer counts as new enough to start with.
func (fol *Follower) startQuorum() int { return min(fol.lastTick.PeerCount, maxStartPeers) }

// setReadyFromPeers makes the follower ready with a state from its peers after
// enough of them were queried, if that state is at least as new as every
// offset that a peer has reported. A process that starts during an outage of
// the log must not serve an older state than its predecessor.
func (fol *Follower) setReadyFromPeers() {
	if fol.ready || !fol.stateInstalled || fol.peerReads.inFlight || fol.peerReads.peersQueried < fol.startQuorum() || fol.behindPeers() {
		return
	}
	fol.ready = true
	fol.emit(Publish{})
}

// pickPeer returns the index of the next peer, in round-robin order.
func (fol *Follower) pickPeer() int {
	fol.peerReads.lastPeer++
	return fol.peerReads.lastPeer % fol.lastTick.PeerCount
}

func (fol *Follower) handlePeerRead(event PeerRead) {
	fol.peerReads.inFlight = false
	defer fol.setReadyFromPeers()
	fol.peerReads.nextAt = fol.now.Add(fol.cfg.Timings.PeerReadInterval)
	if core.CodeOf(event.Err) == core.CodeLogGap {
		fol.queryPeerStates()
		return
	}
	if event.Err != nil || event.Page.Era < fol.era {
		return
	}
	if event.Page.Era > fol.era || fol.former != nil {
		// The next call of startPeerRead requests the state of the same peer.
		fol.queryPeerStates()
		fol.peerReads.lastPeer = event.Peer - 1
		fol.peerReads.nextAt = fol.now
		return
	}
	before := fol.state.Offset()
	fol.applyEntries(event.Page.Entries)
	if fol.state.Offset() > before && event.Page.Next > fol.state.Offset()+1 {
		fol.peerReads.nextAt = fol.now
	}
}

func (fol *Follower) handleStateRead(event StateRead) {
	fol.peerReads.inFlight = false
	defer fol.setReadyFromPeers()
	fol.peerReads.nextAt = fol.now.Add(fol.cfg.Timings.PeerReadInterval)
	if fol.peerReads.peersQueried >= fol.lastTick.PeerCount {
		fol.peerReads.needState = false
	}
	if event.Err != nil || event.State.Era < fol.era {
		return
	}
	state, err := fold.DecodeFor(fol.cfg.Versions, event.State.Data)
	if err != nil {
		return
	}
	if event.State.Era > fol.era {
		fol.enterEra(event.State.Era)
	}
	gapEnd := fol.gapEnd
	newer := fol.installState(state)
	if gapEnd == 0 || newer {
		fol.leaveFormerState()
	}
	if !newer {
		return
	}
	fol.peerReads.needState = false
	if gapEnd > state.Offset()+1 {
		fol.handleGap(gapEnd)
	}
}
