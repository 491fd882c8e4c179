package share

import (
	"time"

	"kumquathinge/core/site"
)

// maxPause limits the pause that a server can ask for.
const maxPause = 24 * time.Hour

// pause is the time until which a process of a server wants no requests of this node.
type pause struct {
	startMillis int64
	until       time.Time
}

// RecordPause records that the process of a server that started at startMillis asked
// this node for a pause. It reports whether that is new. A pause never ends earlier
// than one before it; another process of the server starts without one.
func (bal *Balancer) RecordPause(id string, startMillis int64, dur time.Duration, now time.Time) bool {
	until := now.Add(min(dur, maxPause))
	old, paused := bal.pauses[id]
	if dur <= 0 || paused && old.startMillis == startMillis && !until.After(old.until) {
		return false
	}
	bal.pauses[id] = pause{startMillis: startMillis, until: until}
	for other, pause := range bal.pauses {
		if !now.Before(pause.until) {
			delete(bal.pauses, other)
		}
	}
	return !paused || old.startMillis != startMillis || !now.Before(old.until)
}

// pauseLeft returns how much longer the server wants no requests of this node.
func (bal *Balancer) pauseLeft(srv *site.Server, now time.Time) time.Duration {
	pause, ok := bal.pauses[srv.ID]
	if !ok || pause.startMillis != srv.StartMillis {
		return 0
	}
	return max(0, pause.until.Sub(now))
}

// Pauses returns how many of the servers want no requests of this node, and the time
// until the first one does again.
func (bal *Balancer) Pauses(srvs []*site.Server, now time.Time) (int, time.Duration) {
	num, first := 0, time.Duration(0)
	for _, srv := range srvs {
		left := bal.pauseLeft(srv, now)
		if left == 0 {
			continue
		}
		if num == 0 || left < first {
			first = left
		}
		num++
	}
	return num, first
}
