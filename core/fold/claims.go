package fold

import (
	"container/heap"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

// claim gives the key's only run to the record's holder unless the key was
// claimed before or its issue time is outside the window.
func (sta *State) claim(rec *recd.Record, clm *recd.Claim) *core.Error {
	if clm.Org == "" || clm.Key == "" || clm.Holder == "" {
		return core.Errorf(core.CodeRecordBad, "a claim needs an organisation, a key and a holder")
	}
	iss := clm.Issued.UTC().Round(0)
	if iss.Before(sta.horizon) {
		return core.Errorf(core.CodeKeyExpired, "the request was issued at %s, before %s", stamp(iss), stamp(sta.horizon))
	}
	if last := sta.now.Add(sta.clockError()); iss.After(last) {
		return core.Errorf(core.CodeBadRequest, "the request was issued at %s, after %s", stamp(iss), stamp(last))
	}
	key := claimKey{org: clm.Org, key: clm.Key}
	if old, ok := sta.claims[key]; ok {
		return sta.again(old, clm, iss)
	}
	sta.putClaim(&Claim{
		Org: clm.Org, Key: clm.Key, Offset: sta.offset, Record: rec.ID,
		Holder: clm.Holder, Digest: clm.Digest, Issued: iss,
	})
	heap.Push(&sta.expiry, expiryItem{at: iss, key: key})
	return nil
}

// again rejects the claim of a key that is claimed already. A later issue time
// keeps the key for longer.
func (sta *State) again(old *Claim, clm *recd.Claim, iss time.Time) *core.Error {
	if old.Digest != clm.Digest {
		return core.Errorf(core.CodeKeyMismatch, "the key was claimed with other content at offset %d", old.Offset)
	}
	if iss.After(old.Issued) {
		upd := *old
		upd.Issued = iss
		sta.putClaim(&upd)
	}
	return core.Errorf(core.CodeClaimTaken, "the key was claimed by %s at offset %d", old.Holder, old.Offset)
}

// result records the outcome of a claim. A known outcome may follow an
// unknown one, but nothing replaces a known one.
func (sta *State) result(rec *recd.Record, res *recd.Result) *core.Error {
	clm, err := sta.owned(rec, claimKey{org: res.Org, key: res.Key}, res.Claim)
	if err != nil {
		return err
	}
	if clm.Outcome != nil && (res.Unknown || !clm.Outcome.Unknown) {
		return core.Errorf(core.CodeClaimTaken, "the outcome was recorded at offset %d", clm.Outcome.Offset)
	}
	upd := *clm
	upd.Outcome = &Outcome{Offset: sta.offset, Unknown: res.Unknown, Reply: res.Reply}
	sta.putClaim(&upd)
	return nil
}

// release forgets a claim whose holder surely did not dispatch.
func (sta *State) release(rec *recd.Record, rel *recd.Release) *core.Error {
	clm, err := sta.owned(rec, claimKey{org: rel.Org, key: rel.Key}, rel.Claim)
	if err != nil {
		return err
	}
	if clm.Outcome != nil {
		return core.Errorf(core.CodeClaimTaken, "the outcome was recorded at offset %d", clm.Outcome.Offset)
	}
	sta.dropClaim(clm)
	return nil
}

// owned returns the claim that the record's writer made at the offset.
func (sta *State) owned(rec *recd.Record, key claimKey, at core.Offset) (*Claim, *core.Error) {
	clm, ok := sta.claims[key]
	if !ok || clm.Offset != at {
		return nil, core.Errorf(core.CodeClaimNotHolder, "organisation %s has no claim of key %q at offset %d", key.org, key.key, at)
	}
	if string(clm.Holder) != rec.By {
		return nil, core.Errorf(core.CodeClaimNotHolder, "the claim is held by %s, not %s", clm.Holder, rec.By)
	}
	return clm, nil
}

// putClaim stores a new value of the claim. Stored claims are never written
// again.
func (sta *State) putClaim(clm *Claim) {
	key := claimKey{org: clm.Org, key: clm.Key}
	if old, ok := sta.claims[key]; ok {
		sta.sum -= itemHash(itemClaim, *old)
	}
	sta.claims[key] = clm
	sta.sum += itemHash(itemClaim, *clm)
}

func (sta *State) dropClaim(clm *Claim) {
	sta.sum -= itemHash(itemClaim, *clm)
	delete(sta.claims, claimKey{org: clm.Org, key: clm.Key})
}

func (sta *State) clockError() time.Duration {
	return sta.tre.Config(tree.Root).Duration("once.clock_error")
}

// expireClaims moves the horizon, which never moves back, and forgets the
// claims that were issued before it. Since a claim issued before it is refused
// too, no key can run again because it was forgotten.
func (sta *State) expireClaims() {
	if sta.now.IsZero() {
		return
	}
	span := sta.tre.Config(tree.Root).Duration("once.window") + sta.clockError()
	if hor := sta.now.Add(-span); hor.After(sta.horizon) {
		sta.horizon = hor
	}
	for len(sta.expiry) > 0 && sta.expiry[0].at.Before(sta.horizon) {
		sta.expireFirst()
	}
}

func (sta *State) expireFirst() {
	itm, ok := heap.Pop(&sta.expiry).(expiryItem)
	if !ok {
		panic("fold: expiry heap holds another type")
	}
	clm, ok := sta.claims[itm.key]
	if !ok {
		return
	}
	if clm.Issued.Before(sta.horizon) {
		sta.dropClaim(clm)
		return
	}
	heap.Push(&sta.expiry, expiryItem{at: clm.Issued, key: itm.key})
}

func stamp(at time.Time) string { return at.Format(time.RFC3339Nano) }

// expiryItem is a claim that may be forgotten once the horizon is behind at. A
// claim that was released and made anew may have several.
type expiryItem struct {
	at  time.Time
	key claimKey
}

type expiryHeap []expiryItem

var _ heap.Interface = (*expiryHeap)(nil)

func (exh expiryHeap) Len() int           { return len(exh) }
func (exh expiryHeap) Less(i, j int) bool { return exh[i].at.Before(exh[j].at) }
func (exh expiryHeap) Swap(i, j int)      { exh[i], exh[j] = exh[j], exh[i] }

// Push appends an expiryItem and panics on another type.
func (exh *expiryHeap) Push(itm any) { *exh = append(*exh, itm.(expiryItem)) }

// Pop removes the last item.
func (exh *expiryHeap) Pop() any {
	lst := len(*exh) - 1
	itm := (*exh)[lst]
	*exh = (*exh)[:lst]
	return itm
}
