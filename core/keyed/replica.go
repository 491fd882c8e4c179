package keyed

import (
	"cmp"
	"slices"

	"kumquathinge/core/site"
)

// Replaces reports whether rec takes the place of old, the known record of its
// key. The offset of old is negative if it was read in an earlier era. A rec
// without a value removes the key.
type Replaces func(old, rec site.Record) bool

// beforeEra is the offset of a record that was read in an earlier era.
const beforeEra = -1

// Change is what a step changed in a replica.
type Change struct {
	records  []site.Record
	removed  []string
	end      site.Position
	restored bool
}

// Records returns the records that took the place of others.
func (ch Change) Records() []site.Record { return ch.records }

// Removed returns the keys that are gone without a record of that.
func (ch Change) Removed() []string { return ch.removed }

// End returns the position up to which the replica is complete.
func (ch Change) End() site.Position { return ch.end }

// Restored reports whether the records are the content of a store that came back
// from an older copy. They may be older than those that they replaced.
func (ch Change) Restored() bool { return ch.restored }

// Request asks another replica for the records from a position on.
type Request struct {
	From site.Position
	// Partial is set if removals of keys before From may be unknown.
	Partial bool
}

// Page holds the newest records of the keys that changed at or after a position,
// ordered by offset.
type Page struct {
	// Records are the records, Start and End the positions that they lie between.
	// End is exclusive.
	Records    []site.Record
	Start, End site.Position
	// More is set if End is not the end of what the sender knows.
	More bool
	// Lossy is set if the sender does not know all keys that were removed since Start.
	Lossy bool
	// Keys are all keys of the content at End. They are set on the last page for a
	// replica that may not know all removals.
	Keys []string
}

// Replica is a copy of a keyed topic.
type Replica struct {
	replaces Replaces
	next     site.Position
	// latest holds the newest record of each key, one without a value for a key that
	// was removed.
	latest map[string]site.Record
	// unconfirmed holds the keys whose records were read in an earlier era and not
	// yet in the current one.
	unconfirmed map[string]struct{}
	// keeps reports which keys outlast the content of a later era that lacks them, nil
	// for none. kept holds those that did.
	keeps func(key string) bool
	kept  map[string]struct{}
	// partial is set while removals of keys before the position may be unknown.
	partial bool
	// removalsSince is the offset from which on each removal of a key is known.
	removalsSince int64
}

// NewReplica returns an empty replica. A nil replaces means that the record with
// the later position replaces the other.
func NewReplica(replaces Replaces) *Replica {
	return &Replica{replaces: replaces, latest: map[string]site.Record{}, unconfirmed: map[string]struct{}{}, kept: map[string]struct{}{}}
}

// KeepAbsent returns the replica with a rule for keys whose known record stays when the
// store comes back from an older copy that lacks it. It then stays until a record of the
// key is read, even if the store's content lacks the key for another reason.
func (rep *Replica) KeepAbsent(keeps func(key string) bool) *Replica {
	rep.keeps = keeps
	return rep
}

// Next returns the position up to which the replica is complete.
func (rep *Replica) Next() site.Position { return rep.next }

// Incomplete reports whether the replica may hold keys that were removed before its
// position.
func (rep *Replica) Incomplete() bool { return rep.partial }

// Latest returns the newest record of a key.
func (rep *Replica) Latest(key string) (site.Record, bool) {
	rec, ok := rep.latest[key]
	return rec, ok
}

// ApplySnapshot applies the newest record of each key, read from the store whose
// topic ended at end before. It returns false if the snapshot is of an earlier era. A
// snapshot that ends before the replica changes nothing.
func (rep *Replica) ApplySnapshot(recs []site.Record, end site.Position) (Change, bool) {
	if end.Era < rep.next.Era {
		return Change{}, false
	}
	rep.enter(end.Era)
	ch := rep.begin()
	if end.Before(rep.next) {
		return rep.finish(ch), true
	}
	present := make(map[string]struct{}, len(recs))
	for _, rec := range recs {
		present[rec.Key] = struct{}{}
		rep.apply(rec, &ch)
	}
	rep.next, rep.removalsSince, rep.partial = end, end.Offset, false
	rep.removeAbsent(present, end, &ch)
	return rep.finish(ch), true
}

// ApplyRecords applies the records between two offsets of an era, read from the
// store. It returns false if they don't continue where the replica ends.
func (rep *Replica) ApplyRecords(recs []site.Record, start, end site.Position) (Change, bool) {
	if start.Era != rep.next.Era || rep.next.Before(start) {
		return Change{}, false
	}
	ch := rep.begin()
	rep.applyNext(recs, &ch)
	rep.advance(end)
	return rep.finish(ch), true
}

// Request returns the request for what follows the replica's position.
func (rep *Replica) Request() Request {
	return Request{From: rep.next, Partial: rep.Incomplete()}
}

// ApplyPage applies a page of another replica. It returns false if the page is of an
// earlier era or doesn't continue where the replica ends.
func (rep *Replica) ApplyPage(page Page) (Change, bool) {
	if page.Start.Era > rep.next.Era && page.Start.Offset == 0 {
		rep.enter(page.Start.Era)
	}
	if page.Start.Era != rep.next.Era || rep.next.Before(page.Start) {
		return Change{}, false
	}
	ch := rep.begin()
	rep.applyNext(page.Records, &ch)
	rep.partial = rep.partial || page.Lossy && rep.next.Before(page.End)
	rep.advance(page.End)
	if rep.partial {
		rep.removalsSince = rep.next.Offset
		rep.applyKeys(page, &ch)
	}
	return rep.finish(ch), true
}

// Page returns the records from a position on, all of them if the position is of
// another era. A page of more than maxBytes of keys and values is cut off.
func (rep *Replica) Page(req Request, maxBytes int) Page {
	from := req.From
	if from.Era != rep.next.Era {
		from = site.Position{Era: rep.next.Era}
	}
	page := Page{Start: from, End: rep.next, More: rep.partial, Lossy: from != req.From || from.Offset < rep.removalsSince}
	for key, rec := range rep.latest {
		if _, old := rep.unconfirmed[key]; !old && rec.Offset >= from.Offset {
			page.Records = append(page.Records, rec)
		}
	}
	page = page.Cut(maxBytes)
	if !page.More && (page.Lossy || req.Partial) {
		page.Keys = rep.liveKeys()
	}
	return page
}

// liveKeys returns the keys that have not been removed.
func (rep *Replica) liveKeys() []string {
	out := []string{}
	for key, rec := range rep.latest {
		if len(rec.Value) > 0 {
			out = append(out, key)
		}
	}
	return out
}

// applyKeys removes the keys that are not part of the content at the end of the last
// page.
func (rep *Replica) applyKeys(page Page, ch *Change) {
	if page.More || page.Keys == nil {
		return
	}
	rep.partial = false
	present := make(map[string]struct{}, len(page.Keys))
	for _, key := range page.Keys {
		present[key] = struct{}{}
	}
	rep.removeAbsent(present, page.End, ch)
}

// Cut returns the page without the records beyond maxBytes of keys and values. It
// keeps at least one record, and all of one offset.
func (page Page) Cut(maxBytes int) Page {
	slices.SortFunc(page.Records, func(a, b site.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	total := 0
	for idx, rec := range page.Records {
		total += len(rec.Key) + len(rec.Value)
		if idx > 0 && total > maxBytes && rec.Offset > page.Records[idx-1].Offset {
			page.Records, page.End.Offset, page.More = page.Records[:idx], rec.Offset, true
			return page
		}
	}
	return page
}

// enter begins an era if it is later than the current one. The position in it is
// unknown, so all its content must be read.
func (rep *Replica) enter(era int64) {
	if era <= rep.next.Era {
		return
	}
	rep.next, rep.removalsSince, rep.partial = site.Position{Era: era}, 0, true
	for key, rec := range rep.latest {
		if len(rec.Value) == 0 {
			delete(rep.latest, key)
			continue
		}
		rep.unconfirmed[key] = struct{}{}
	}
}

func (rep *Replica) begin() Change { return Change{restored: len(rep.unconfirmed) > 0} }

func (rep *Replica) finish(ch Change) Change {
	ch.end = rep.next
	return ch
}

func (rep *Replica) advance(end site.Position) {
	if rep.next.Before(end) {
		rep.next = end
	}
}

// applyNext applies records that continue the replica. A key that is unknown although
// its record precedes the replica's position was removed in between.
func (rep *Replica) applyNext(recs []site.Record, ch *Change) {
	for _, rec := range recs {
		if _, known := rep.latest[rec.Key]; known || rec.Offset >= rep.next.Offset {
			rep.apply(rec, ch)
		}
	}
}

// apply stores a record of the current era unless the known one of its key is
// newer. One that is kept gets the record's offset, so that it is handed on.
func (rep *Replica) apply(rec site.Record, ch *Change) {
	old, known := rep.latest[rec.Key]
	_, unconfirmed := rep.unconfirmed[rec.Key]
	delete(rep.unconfirmed, rec.Key)
	delete(rep.kept, rec.Key)
	if unconfirmed {
		old.Offset = beforeEra
	}
	switch {
	case !known:
	case rep.replaces == nil && rec.Offset <= old.Offset:
		return
	case rep.replaces != nil && !rep.replaces(old, rec):
		old.Offset = max(old.Offset, rec.Offset)
		rep.latest[rec.Key] = old
		return
	default:
		rec.Offset = max(old.Offset, rec.Offset)
	}
	rep.latest[rec.Key] = rec
	ch.records = append(ch.records, rec)
}

// removeAbsent removes the keys that are not part of the content at a position.
func (rep *Replica) removeAbsent(present map[string]struct{}, end site.Position, ch *Change) {
	for key, rec := range rep.latest {
		_, unconfirmed := rep.unconfirmed[key]
		if _, ok := present[key]; !ok && len(rec.Value) > 0 && (unconfirmed || rec.Offset < end.Offset) {
			rep.remove(key, ch)
		}
	}
}

// remove removes a key before the replica's position.
func (rep *Replica) remove(key string, ch *Change) {
	old := rep.latest[key]
	_, unconfirmed := rep.unconfirmed[key]
	if unconfirmed {
		old.Offset = beforeEra
	}
	delete(rep.unconfirmed, key)
	if unconfirmed && rep.keeps != nil && rep.keeps(key) {
		rep.kept[key] = struct{}{}
	}
	_, kept := rep.kept[key]
	rec := site.Record{Key: key, Offset: max(0, rep.next.Offset-1)}
	if kept || rep.replaces != nil && !rep.replaces(old, rec) {
		// In an empty topic the next record, whose offset is 0, must be newer.
		old.Offset = rep.next.Offset - 1
		rep.latest[key] = old
		return
	}
	rep.latest[key] = rec
	ch.removed = append(ch.removed, key)
}
