package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// resumeTickInterval is the interval in which a node notes that it runs.
	resumeTickInterval = 250 * time.Millisecond
	// minSuspension is the time without a tick after which what the node knows of the
	// operators' topic counts as old. It is well below the time that an evacuation has to
	// take effect, and above pauses of a busy machine.
	minSuspension = 2 * time.Second
	// resumeReadTimeout is the longest time for which requests wait for that topic to be
	// read after the node was suspended. The store responds within some milliseconds; if
	// it can't be reached, the known state applies.
	resumeReadTimeout = 600 * time.Millisecond
	// resumePollInterval is the interval at which a waiting request looks again.
	resumePollInterval = 2 * time.Millisecond
)

// resumeGate holds requests back after the VM or the process was suspended, until the
// operators' topic has been read again: a zone may have been evacuated meanwhile. Times
// are wall-clock times in Unix nanoseconds, since the monotonic clock may stop while the
// VM is suspended.
type resumeGate struct {
	log *logrus.Logger
	// readAgain starts a read of the operators' topic.
	readAgain func()
	// enabled reports whether the settings bound the time of an evacuation. Without a
	// bound, requests don't wait.
	enabled func() bool

	tickedAt atomic.Int64
	// resumedAt is when the node resumed, zero once the topic has been read since.
	resumedAt atomic.Int64
}

// run notes that the node runs until ctx ends.
func (gate *resumeGate) run(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := resumeTickInterval
		if gate.enabled() {
			gate.tick(time.Now())
		} else {
			interval = settingsPollInterval
		}
		sleep(ctx, interval)
	}
	return nil
}

// tick notes that the node runs at now, and starts a read if it was suspended before.
func (gate *resumeGate) tick(now time.Time) {
	last := gate.tickedAt.Load()
	suspended := time.Duration(now.UnixNano() - last)
	if suspended < resumeTickInterval && suspended >= 0 || !gate.tickedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	if last == 0 || suspended < minSuspension {
		return
	}
	gate.resumedAt.Store(now.UnixNano())
	gate.log.WithFields(logrus.Fields{"event": "node_resumed", "suspended": suspended}).Warn("this node was suspended; requests wait until the operators' topic has been read again")
	gate.readAgain()
}

// confirmed records that the operators' topic was read. The read began after the node
// resumed.
func (gate *resumeGate) confirmed() { gate.resumedAt.Store(0) }

// await returns once what the node knows of the operators' topic is current, as far as
// the store can be reached, or ctx has ended.
func (gate *resumeGate) await(ctx context.Context) {
	for gate.enabled() {
		now := time.Now()
		gate.tick(now)
		resumedAt := gate.resumedAt.Load()
		if resumedAt == 0 || time.Duration(now.UnixNano()-resumedAt) > resumeReadTimeout || ctx.Err() != nil {
			return
		}
		sleep(ctx, resumePollInterval)
	}
}

// confirmOperatorTopic makes the follower of the operators' topic read it now.
func (node *Node) confirmOperatorTopic() {
	follower := node.followers[operatorTopicIndex]
	follower.confirmTries.Store(maxConfirmTries)
	follower.recheck()
}

// pollWait returns for how long a read may wait for records.
func (follower *follower) pollWait() time.Duration {
	if follower.confirming {
		return 0
	}
	return follower.pollTimeout
}

// maxConfirmTries is how often a node that resumed tries to read the topic at once. The
// first calls may fail on connections that the store has closed meanwhile.
const maxConfirmTries = 4

// endConfirmTry records a failed read that was asked for before it began.
func (follower *follower) endConfirmTry() {
	if follower.confirming {
		follower.confirmTries.Add(-1)
	}
}

// endConfirmation reports a successful read that was asked for before it began.
func (follower *follower) endConfirmation() {
	if !follower.confirming {
		return
	}
	follower.confirmTries.Store(0)
	if follower.confirmed != nil {
		follower.confirmed()
	}
}
