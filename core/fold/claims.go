package fold

import (
	"container/heap"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

// applyClaim grants the only execution of the key to the record's holder,
// unless the key is already claimed or its issue time is outside the window.
func (st *State) applyClaim(rec *recd.Record, claim *recd.Claim) *core.Error {
	if claim.Org == "" || claim.Key == "" || claim.Holder == "" {
		return core.Errorf(core.CodeRecordBad, "a claim needs an organisation, a key and a holder")
	}
	issued := claim.Issued.UTC().Round(0)
	if issued.Before(st.claimCutoff) {
		return core.Errorf(core.CodeKeyExpired, "the request was issued at %s, before %s", formatTime(issued), formatTime(st.claimCutoff))
	}
	if last := st.now.Add(st.clockError()); issued.After(last) {
		return core.Errorf(core.CodeBadRequest, "the request was issued at %s, after %s", formatTime(issued), formatTime(last))
	}
	key := claimKey{org: claim.Org, key: claim.Key}
	if old, ok := st.claims[key]; ok {
		return st.rejectClaimed(old, claim, issued)
	}
	st.putClaim(&Claim{
		Org: claim.Org, Key: claim.Key, Offset: st.offset, Record: rec.ID,
		Holder: claim.Holder, Digest: claim.Digest, Issued: issued,
	})
	heap.Push(&st.claimExpiry, expiryItem{issuedAt: issued, key: key})
	return nil
}

// rejectClaimed rejects a claim of a key that is already claimed. A later
// issue time extends the retention of the existing claim.
func (st *State) rejectClaimed(old *Claim, claim *recd.Claim, issued time.Time) *core.Error {
	if old.Digest != claim.Digest {
		return core.Errorf(core.CodeKeyMismatch, "the key was claimed with other content at offset %d", old.Offset)
	}
	if issued.After(old.Issued) {
		updated := *old
		updated.Issued = issued
		st.putClaim(&updated)
	}
	return core.Errorf(core.CodeClaimTaken, "the key was claimed by %s at offset %d", old.Holder, old.Offset)
}

// applyResult records the outcome of a claim. A known outcome may replace an
// unknown one, but is never replaced.
func (st *State) applyResult(rec *recd.Record, res *recd.Result) *core.Error {
	claim, err := st.ownedClaim(rec, claimKey{org: res.Org, key: res.Key}, res.Claim)
	if err != nil {
		return err
	}
	if claim.Outcome != nil && (res.Unknown || !claim.Outcome.Unknown) {
		return core.Errorf(core.CodeClaimTaken, "the outcome was recorded at offset %d", claim.Outcome.Offset)
	}
	updated := *claim
	updated.Outcome = &Outcome{Offset: st.offset, Unknown: res.Unknown, Reply: res.Reply}
	st.putClaim(&updated)
	return nil
}

// applyRelease removes a claim whose holder certainly did not dispatch the
// request.
func (st *State) applyRelease(rec *recd.Record, release *recd.Release) *core.Error {
	claim, err := st.ownedClaim(rec, claimKey{org: release.Org, key: release.Key}, release.Claim)
	if err != nil {
		return err
	}
	if claim.Outcome != nil {
		return core.Errorf(core.CodeClaimTaken, "the outcome was recorded at offset %d", claim.Outcome.Offset)
	}
	st.deleteClaim(claim)
	return nil
}

// ownedClaim returns the claim that the record's writer made at the offset.
func (st *State) ownedClaim(rec *recd.Record, key claimKey, offset core.Offset) (*Claim, *core.Error) {
	claim, ok := st.claims[key]
	if !ok || claim.Offset != offset {
		return nil, core.Errorf(core.CodeClaimNotHolder, "organisation %s has no claim of key %q at offset %d", key.org, key.key, offset)
	}
	if string(claim.Holder) != rec.By {
		return nil, core.Errorf(core.CodeClaimNotHolder, "the claim is held by %s, not %s", claim.Holder, rec.By)
	}
	return claim, nil
}

// putClaim stores a new value of the claim. Stored claims are immutable:
// snapshots share them.
func (st *State) putClaim(claim *Claim) {
	key := claimKey{org: claim.Org, key: claim.Key}
	if old, ok := st.claims[key]; ok {
		st.itemHashSum -= itemHash(itemClaim, *old)
	}
	st.claims[key] = claim
	st.itemHashSum += itemHash(itemClaim, *claim)
}

func (st *State) deleteClaim(claim *Claim) {
	st.itemHashSum -= itemHash(itemClaim, *claim)
	delete(st.claims, claimKey{org: claim.Org, key: claim.Key})
}

func (st *State) clockError() time.Duration {
	return st.settings.Config(tree.Root).Duration("once.clock_error")
}

// expireClaims advances the cutoff, which never moves back, and removes the
// claims issued before it. No key can be executed again after its claim is
// removed, since a claim issued before the cutoff is rejected.
func (st *State) expireClaims() {
	if st.now.IsZero() {
		return
	}
	window := st.settings.Config(tree.Root).Duration("once.window") + st.clockError()
	if cutoff := st.now.Add(-window); cutoff.After(st.claimCutoff) {
		st.claimCutoff = cutoff
	}
	for len(st.claimExpiry) > 0 && st.claimExpiry[0].issuedAt.Before(st.claimCutoff) {
		st.expireOldestClaim()
	}
}

func (st *State) expireOldestClaim() {
	item, ok := heap.Pop(&st.claimExpiry).(expiryItem)
	if !ok {
		panic("fold: unexpected type in the expiry heap")
	}
	claim, ok := st.claims[item.key]
	if !ok {
		return
	}
	if claim.Issued.Before(st.claimCutoff) {
		st.deleteClaim(claim)
		return
	}
	heap.Push(&st.claimExpiry, expiryItem{issuedAt: claim.Issued, key: item.key})
}

func formatTime(at time.Time) string { return at.Format(time.RFC3339Nano) }

// expiryItem is a claim that may be removed once the cutoff is later than
// issuedAt. A claim that was released and made again may have several items.
type expiryItem struct {
	issuedAt time.Time
	key      claimKey
}

type expiryHeap []expiryItem

var _ heap.Interface = (*expiryHeap)(nil)

func (eh expiryHeap) Len() int           { return len(eh) }
func (eh expiryHeap) Less(i, j int) bool { return eh[i].issuedAt.Before(eh[j].issuedAt) }
func (eh expiryHeap) Swap(i, j int)      { eh[i], eh[j] = eh[j], eh[i] }

// Push appends an expiryItem and panics on another type.
func (eh *expiryHeap) Push(item any) { *eh = append(*eh, item.(expiryItem)) }

// Pop removes and returns the last item.
func (eh *expiryHeap) Pop() any {
	last := len(*eh) - 1
	item := (*eh)[last]
	*eh = (*eh)[:last]
	return item
}
