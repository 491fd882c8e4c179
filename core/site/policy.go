package site

import "time"

// SendLimiter limits the requests that this node sends to single backend servers.
// Implementations are not safe for concurrent use.
type SendLimiter interface {
	// Allows reports whether this node may send a request to the server now.
	Allows(srv *Server, now time.Time) bool
	// RecordSent records a request that this node sends to the server.
	RecordSent(id string, now time.Time)
}

// CapacityEstimator estimates what single backend servers can take. Implementations
// are not safe for concurrent use.
type CapacityEstimator interface {
	// Fraction returns the fraction of its published capacity that a server can take
	// now from all nodes together, in (0, 1].
	Fraction(srv *Server, now time.Time) float64
}

// SpeedEstimator estimates how fast single backend servers are. Implementations are not
// safe for concurrent use.
type SpeedEstimator interface {
	// Speed returns the speed of a server relative to the other servers of its model
	// or service, in (0, 1].
	Speed(srv *Server) float64
}

// ModelDemand is what the callers of a model ask for at all nodes.
type ModelDemand struct {
	// Levels holds the demand of each urgency, the most urgent first.
	Levels []LevelDemand
}

// LevelDemand is the demand of one urgency, as the mean number of groups that the
// requests keep busy. A caller that returns after a refusal counts once.
type LevelDemand struct {
	// Urgency 0 is the highest.
	Urgency int
	// Asked is the demand of all requests, Refused that of those which are not
	// admitted.
	Asked, Refused float64
}
