package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// Pauses of a follower.
const (
	// followPause follows a read that brought records, so that a burst of
	// changes takes few calls.
	followPause = 10 * time.Millisecond
	// hintPause follows a read that was cut for newer records.
	hintPause = 20 * time.Millisecond
	// retryPause is the first pause after a failed call; it doubles up to
	// retryPauseMax. The store takes 2,000 reads a second of all nodes.
	retryPause    = 60 * time.Millisecond
	retryPauseMax = 400 * time.Millisecond
)

// change is what a follower read.
type change struct {
	records []site.Record
	// gone are keys that the store dropped in a gap.
	gone []string
	// end is the offset after the last record that was read.
	end int64
}

// follower follows one keyed topic of the store: it starts from the newest
// records, reads on by offset, and starts again after a gap. A record that is
// older than what is known of its key is never handed on.
type follower struct {
	sto   *platform.Store
	hea   *health
	log   *logrus.Logger
	met   *meter
	topic string
	wait  time.Duration
	apply func(change)

	known map[string]int64
	next  atomic.Int64
	pause time.Duration
	// poll ends the read in progress.
	poll atomic.Pointer[context.CancelFunc]
}

// hint tells that the topic reaches to end by the word of a peer. A read that
// is held back although there are newer records is made again.
func (fol *follower) hint(end int64) {
	if end <= fol.next.Load() {
		return
	}
	if cut := fol.poll.Load(); cut != nil {
		(*cut)()
	}
}

// run follows until ctx ends.
func (fol *follower) run(ctx context.Context) error {
	fol.known = map[string]int64{}
	fresh := true
	for ctx.Err() == nil {
		var err error
		sent := time.Now()
		if fresh {
			err = fol.newest(ctx)
		} else {
			err = fol.read(ctx)
		}
		switch {
		case err == nil:
			fresh = false
			fol.pause = 0
			fol.up()
			if fol.topic == platform.TopicNodes {
				fol.hea.confirm(sent)
			}
		case errors.Is(err, platform.ErrTrimmed):
			fol.log.WithFields(logrus.Fields{"event": "store_gap", "topic": fol.topic, "from": fol.next.Load()}).Warn("records dropped before they were read; reading the newest ones")
			fresh = true
			fol.up()
			sleep(ctx, retryPause)
		default:
			fol.failed(ctx, err)
		}
	}
	return nil
}

func (fol *follower) up() {
	if fol.hea.ok(time.Now()) {
		fol.log.WithFields(logrus.Fields{"event": "dependency_regained", "dependency": "store"}).Info("the store answers again")
	}
}

func (fol *follower) failed(ctx context.Context, err error) {
	fol.met.storeErrors.Inc()
	if ctx.Err() != nil {
		return
	}
	if fol.hea.fail(time.Now()) {
		fol.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": "store", "topic": fol.topic, "error": err}).Warn("the store doesn't answer")
	}
	fol.pause = min(max(retryPause, 2*fol.pause), retryPauseMax)
	sleep(ctx, fol.pause/2+rand.N(fol.pause))
}

// newest reads the newest record of each key.
func (fol *follower) newest(ctx context.Context) error {
	fol.met.storeCalls.Inc()
	recs, end, err := fol.sto.Newest(ctx, fol.topic)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(recs))
	for _, rec := range recs {
		seen[rec.Key] = true
	}
	chg := change{records: fol.newer(recs), end: end}
	if end >= fol.next.Load() {
		for key, off := range fol.known {
			if !seen[key] && off < end {
				chg.gone = append(chg.gone, key)
				delete(fol.known, key)
			}
		}
		fol.next.Store(end)
	}
	chg.end = fol.next.Load()
	fol.apply(chg)
	return nil
}

// read reads on from the last offset.
func (fol *follower) read(ctx context.Context) error {
	fol.met.storeCalls.Inc()
	from := fol.next.Load()
	pctx, cut := context.WithCancel(ctx)
	defer cut()
	fol.poll.Store(&cut)
	recs, next, err := fol.sto.Follow(pctx, fol.topic, from, fol.wait)
	fol.poll.Store(nil)
	if err != nil && pctx.Err() != nil && ctx.Err() == nil {
		fol.log.WithFields(logrus.Fields{"event": "store_hint", "topic": fol.topic, "from": from}).Info("a peer knows of newer records; reading again")
		sleep(ctx, hintPause)
		return nil
	}
	if err != nil {
		return err
	}
	next = max(next, from)
	fol.next.Store(next)
	if len(recs) == 0 {
		return nil
	}
	fol.apply(change{records: fol.newer(recs), end: next})
	sleep(ctx, followPause)
	return nil
}

// newer returns the records that are newer than what is known of their keys.
func (fol *follower) newer(recs []site.Record) []site.Record {
	out := recs[:0]
	for _, rec := range recs {
		if off, ok := fol.known[rec.Key]; ok && off >= rec.Offset {
			continue
		}
		fol.known[rec.Key] = rec.Offset
		out = append(out, rec)
	}
	return out
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
