package reach

import "time"

const (
	// ProbeCount is the number of servers that a round of probes connects to, all of them
	// if a service has fewer.
	ProbeCount = 3
	// probeDelay is the time from a sign of trouble to the first round of probes. A new
	// connection within it shows that servers are within reach.
	probeDelay = 50 * time.Millisecond
	// probeInterval is the time between the ends of two rounds while the servers are out of
	// reach.
	probeInterval = 250 * time.Millisecond
	// quietInterval is the least time between two rounds that find servers within reach.
	quietInterval = time.Second
)

// Tracker holds for each service whether its servers are within reach. It is not safe for
// concurrent use. Its zero value is not usable.
type Tracker struct {
	services map[string]*service
}

// service is the state of the servers of one service.
type service struct {
	// suspectSince is the time of the first sign of trouble, zero if there is none.
	suspectSince time.Time
	// probing is set during a round of probes, which last ended at probedAt.
	probing  bool
	probedAt time.Time
	lost     bool
}

// NewTracker returns a Tracker for which all servers are within reach.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

func (trk *Tracker) serviceOf(name string) *service {
	svc := trk.services[name]
	if svc == nil {
		svc = &service{}
		trk.services[name] = svc
	}
	return svc
}

// RecordFailure records a sign of trouble: no connection to a server of the service could
// be opened, one was reset, or all servers of the service are silent.
func (trk *Tracker) RecordFailure(name string, now time.Time) {
	svc := trk.serviceOf(name)
	if svc.suspectSince.IsZero() {
		svc.suspectSince = now
	}
}

// RecordConnected records a response on a new connection to a server of the service.
func (trk *Tracker) RecordConnected(name string) {
	if svc := trk.services[name]; svc != nil && !svc.lost {
		svc.suspectSince = time.Time{}
	}
}

// BeginProbes reports whether a round of probes of the service is due, and begins it if so.
func (trk *Tracker) BeginProbes(name string, now time.Time) bool {
	svc := trk.services[name]
	if svc == nil || svc.probing || svc.suspectSince.IsZero() {
		return false
	}
	wait := quietInterval
	if svc.lost {
		wait = probeInterval
	}
	if now.Sub(svc.suspectSince) < probeDelay || !svc.probedAt.IsZero() && now.Sub(svc.probedAt) < wait {
		return false
	}
	svc.probing = true
	return true
}

// EndProbes records the result of a round: how many of the probed servers accepted a
// connection. It reports whether the service was lost or found again.
func (trk *Tracker) EndProbes(name string, accepted, probed int, now time.Time) (changed bool) {
	svc := trk.serviceOf(name)
	svc.probing, svc.probedAt = false, now
	before := svc.lost
	switch {
	case probed == 0:
		// Without servers there is nothing to reach.
		svc.lost = false
	case accepted == 0:
		svc.lost = true
	case 2*accepted >= probed:
		svc.lost = false
	}
	if !svc.lost {
		svc.suspectSince = time.Time{}
	}
	return svc.lost != before
}

// Lost reports whether the servers of the service are out of reach.
func (trk *Tracker) Lost(name string) bool {
	svc := trk.services[name]
	return svc != nil && svc.lost
}

// LostServices returns the services whose servers are out of reach.
func (trk *Tracker) LostServices() []string {
	var out []string
	for name, svc := range trk.services {
		if svc.lost {
			out = append(out, name)
		}
	}
	return out
}

// Retain forgets the services for which keep returns false.
func (trk *Tracker) Retain(keep func(name string) bool) {
	for name, svc := range trk.services {
		if !svc.probing && !keep(name) {
			delete(trk.services, name)
		}
	}
}
