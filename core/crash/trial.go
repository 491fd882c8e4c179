package crash

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// StartTrial reports whether this node may send a request that Decide isolates,
// and if so records that it runs. A node runs one trial at a time, and nodes
// take turns for a part: the first by name that saw the crash begins.
func (tr *PartTracker) StartTrial(req Subject, now time.Time) bool {
	if tr.onTrial {
		return false
	}
	tr.evaluate(now)
	for _, part := range req.Shared {
		sus, ok := tr.suspects[part]
		if ok && (now.Before(sus.since.Add(tr.trialDelay(part))) || tr.triedByPeer(part, now)) {
			return false
		}
	}
	tr.trial, tr.onTrial = req, true
	return true
}

// EndTrial records that the trial of this node has ended.
func (tr *PartTracker) EndTrial() { tr.trial, tr.onTrial = Subject{}, false }

// trialDelay returns the time after a crash at which this node may try a part.
func (tr *PartTracker) trialDelay(part core.PromptPart) time.Duration {
	if tr.firstObserver(part) {
		return tr.cfg.SettleTime
	}
	fraction := float64(xxhash.Sum64String(tr.node+"/"+string(part))%1000) / 1000
	return tr.cfg.SettleTime + otherTrialDelay + time.Duration(fraction*float64(tr.nodes)*float64(trialTurn))
}

// firstObserver reports whether this node is the first by name of those that saw
// a crash with the part.
func (tr *PartTracker) firstObserver(part core.PromptPart) bool {
	for name, peer := range tr.peers {
		for _, ev := range peer.crashes {
			if name < tr.node && ev.contains(part) {
				return false
			}
		}
	}
	return tr.observed(part)
}

// observed reports whether this node saw a crash with the part.
func (tr *PartTracker) observed(part core.PromptPart) bool {
	for _, ev := range tr.crashes {
		if ev.contains(part) {
			return true
		}
	}
	return false
}

func (ev *evidence) contains(part core.PromptPart) bool {
	for _, sub := range ev.stages {
		if _, ok := sub.shared[part]; ok {
			return true
		}
	}
	return false
}

// triedByPeer reports whether a peer tries the part according to a report that is
// not too old: the peer may have ended.
func (tr *PartTracker) triedByPeer(part core.PromptPart, now time.Time) bool {
	for _, peer := range tr.peers {
		if now.Before(peer.expiresAt) && slices.Contains(peer.trial, part) {
			return true
		}
	}
	return false
}
