// Package quota limits the bytes that a process holds for all of its requests together.
package quota

import "sync/atomic"

// Quota counts held bytes against a limit. It is safe for concurrent use.
type Quota struct {
	limit, used, peak, refused atomic.Int64
}

// New returns a quota with a limit in bytes. Zero and less mean no limit.
func New(limit int64) *Quota {
	qta := &Quota{}
	qta.limit.Store(limit)
	return qta
}

// SetLimit changes the limit. What is held beyond it stays.
func (qta *Quota) SetLimit(limit int64) { qta.limit.Store(limit) }

// Reserve counts num bytes as held. It returns false, and counts the refusal only, if they
// would exceed the limit.
func (qta *Quota) Reserve(num int64) bool {
	for {
		used, limit := qta.used.Load(), qta.limit.Load()
		if limit > 0 && used+num > limit {
			qta.refused.Add(1)
			return false
		}
		if qta.used.CompareAndSwap(used, used+num) {
			qta.recordPeak(used + num)
			return true
		}
	}
}

// Charge counts num bytes as held whatever the limit is. Later reservations then find less
// room.
func (qta *Quota) Charge(num int64) { qta.recordPeak(qta.used.Add(num)) }

// Release ends the count of num bytes.
func (qta *Quota) Release(num int64) { qta.used.Add(-num) }

func (qta *Quota) recordPeak(used int64) {
	for {
		peak := qta.peak.Load()
		if used <= peak || qta.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Limit returns the limit in bytes.
func (qta *Quota) Limit() int64 { return qta.limit.Load() }

// Used returns the number of held bytes.
func (qta *Quota) Used() int64 { return qta.used.Load() }

// Peak returns the largest number of bytes that were held at a time.
func (qta *Quota) Peak() int64 { return qta.peak.Load() }

// Refused returns the number of refused reservations.
func (qta *Quota) Refused() int64 { return qta.refused.Load() }
