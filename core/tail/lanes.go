package tail

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
)

// logLane is the state of the reads of the log.
type logLane struct {
	busy   bool
	sentAt time.Time
	nextAt time.Time
	soonAt time.Time
	fails  int
	ok     bool
	behind bool
	first  core.Offset
	next   core.Offset
}

// peerLane is the state of the calls to peers. Asked counts the peers asked
// for a state since the gap was found.
type peerLane struct {
	busy   bool
	nextAt time.Time
	turn   int
	asked  int
	want   bool
}

// startPeers is the number of peers that a starting follower asks, if it has
// as many.
const startPeers = 4

// hurryFactor is how much more often the log is read while a proposal waits
// for its read-back.
const hurryFactor = 16

// backoff returns the time before the try that follows fails failures.
func backoff(tim Timings, fails int) time.Duration {
	dur := tim.RetryMin
	for ; fails > 1 && dur < tim.RetryMax; fails-- {
		dur *= 2
	}
	return min(dur, tim.RetryMax)
}

func (fol *Follower) nextLog() {
	if fol.log.busy || fol.sta.Err() != nil {
		return
	}
	hurry := fol.props.waiting() && fol.ready && fol.gap == 0 && fol.log.fails == 0
	if fol.now.Before(fol.log.soonAt) || (fol.now.Before(fol.log.nextAt) && !hurry) {
		return
	}
	from := fol.sta.Offset() + 1
	if fol.gap != 0 {
		if !fol.scanDue() {
			return
		}
		from = fol.scan.pos
	}
	fol.log.busy = true
	fol.log.sentAt = fol.now
	fol.do(ReadLog{From: from, Max: fol.pageMax(), Wait: fol.wait()})
}

// pageMax returns the number of entries to ask for: half as many after each
// failure, since a page may be too large for the connection.
func (fol *Follower) pageMax() int {
	num := fol.cfg.Timings.PageMax
	for range fol.log.fails {
		num /= 2
	}
	return max(num, 1)
}

// wait returns how long a read of the log may wait for an entry.
func (fol *Follower) wait() time.Duration {
	if !fol.ready || fol.gap != 0 {
		return 0
	}
	return fol.cfg.Timings.ReadWait
}

func (fol *Follower) logRead(evt LogRead) {
	fol.log.busy = false
	if evt.Page.First > 0 {
		fol.log.first = evt.Page.First
	}
	if evt.Page.Next > 0 {
		fol.log.next = evt.Page.Next
	}
	switch {
	case evt.Err == nil:
		fol.logGood(evt)
	case core.CodeOf(evt.Err) == core.CodeLogGap:
		fol.logAnswered()
		fol.gapFound(max(evt.Page.First, 1))
	default:
		fol.log.fails++
		fol.setLogOK(false)
		fol.log.nextAt = fol.now.Add(backoff(fol.cfg.Timings, fol.log.fails))
		if fol.gap != 0 {
			fol.askAll()
		}
	}
}

func (fol *Follower) logAnswered() {
	fol.log.fails = 0
	fol.setLogOK(true)
	fol.log.nextAt = fol.now.Add(fol.cfg.Timings.ReadEvery)
	fol.log.soonAt = fol.now.Add(fol.cfg.Timings.ReadEvery / hurryFactor)
}

func (fol *Follower) setLogOK(isOK bool) {
	if fol.log.ok != isOK {
		fol.log.ok = isOK
		fol.do(Publish{})
	}
}

func (fol *Follower) logGood(evt LogRead) {
	fol.logAnswered()
	if fol.gap != 0 {
		fol.scanned(evt.Page)
		return
	}
	fol.apply(evt.Page.Entries)
	end := fol.sta.Offset() + 1
	fol.log.behind = evt.Page.Next > 0 && evt.Page.Next < end
	if evt.Page.Next > end {
		fol.log.nextAt = fol.now
		fol.log.soonAt = fol.now
		return
	}
	if fol.log.behind || fol.sta.Err() != nil {
		return
	}
	if !fol.ready {
		fol.ready = true
		fol.do(Publish{})
	}
	fol.confirmed = evt.Sent
}

// gapFound notes that the entries behind the state are gone: the oldest kept
// one is first.
func (fol *Follower) gapFound(first core.Offset) {
	if first <= fol.sta.Offset()+1 {
		return
	}
	if fol.gap == 0 {
		fol.do(Publish{})
	}
	fol.gap = first
	fol.scan = nil
	fol.askAll()
}

// askAll asks every peer for its state once more.
func (fol *Follower) askAll() {
	fol.peers.want = true
	fol.peers.asked = 0
}

// logSilent reports whether the log has not answered for too long.
func (fol *Follower) logSilent() bool {
	if fol.log.fails > 0 {
		return true
	}
	return fol.log.busy && fol.now.Sub(fol.log.sentAt) > fol.cfg.Timings.ReadBound
}

func (fol *Follower) nextPeer() {
	lan := &fol.peers
	if lan.busy || fol.tick.Peers == 0 || fol.now.Before(lan.nextAt) || fol.sta.Err() != nil {
		return
	}
	starting := !fol.ready && lan.asked < fol.quorum()
	switch {
	case lan.want || (starting && fol.sta.Offset() == 0):
		lan.busy = true
		lan.asked++
		fol.do(AskState{Peer: fol.turn()})
	case starting || fol.logSilent():
		lan.busy = true
		lan.asked++
		fol.do(ReadPeer{Peer: fol.turn(), From: fol.sta.Offset() + 1, Max: fol.cfg.Timings.PageMax})
	}
}

// quorum returns how many peers are asked before a state that came from a peer
// counts as new enough to start with.
func (fol *Follower) quorum() int { return min(fol.tick.Peers, startPeers) }

// startWithoutLog makes the follower ready on what its peers gave it: a state,
// at least as new as any offset that a peer is known to have reached, after
// enough of them were asked. A process that starts while the log is out must
// not serve an older state than the one before it did.
func (fol *Follower) startWithoutLog() {
	if fol.ready || !fol.adopted || fol.peers.busy || fol.peers.asked < fol.quorum() || fol.sta.Offset() < fol.seen {
		return
	}
	fol.ready = true
	fol.do(Publish{})
}

// turn returns the next peer in turn.
func (fol *Follower) turn() int {
	fol.peers.turn++
	return fol.peers.turn % fol.tick.Peers
}

func (fol *Follower) peerRead(evt PeerRead) {
	fol.peers.busy = false
	defer fol.startWithoutLog()
	fol.peers.nextAt = fol.now.Add(fol.cfg.Timings.RelayEvery)
	if core.CodeOf(evt.Err) == core.CodeLogGap {
		fol.askAll()
		return
	}
	if evt.Err != nil {
		return
	}
	before := fol.sta.Offset()
	fol.apply(evt.Page.Entries)
	if fol.sta.Offset() > before && evt.Page.Next > fol.sta.Offset()+1 {
		fol.peers.nextAt = fol.now
	}
}

func (fol *Follower) stateRead(evt StateRead) {
	fol.peers.busy = false
	defer fol.startWithoutLog()
	fol.peers.nextAt = fol.now.Add(fol.cfg.Timings.RelayEvery)
	if fol.peers.asked >= fol.tick.Peers {
		fol.peers.want = false
	}
	if evt.Err != nil {
		return
	}
	sta, err := fold.DecodeFor(fol.cfg.Program, evt.Data)
	if err != nil {
		return
	}
	gap := fol.gap
	if !fol.adopt(sta) {
		return
	}
	fol.peers.want = false
	if gap > sta.Offset()+1 {
		fol.gapFound(gap)
	}
}
