package emul

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"kumquathinge/core/site"
)

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (dur *Duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	*dur = Duration(val)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (dur Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(dur).String()), nil }

// EventKind is a kind of event in a pattern.
type EventKind string

// Kinds of events.
const (
	// EventLose stops members of groups for good, in one zone.
	EventLose EventKind = "lose"
	// EventDark stops all servers of a domain and starts others on their hosts
	// after a while.
	EventDark EventKind = "dark"
	// EventAdd starts empty servers in a zone.
	EventAdd EventKind = "add"
	// EventDrain lets servers of a zone announce that they stop, and stops them
	// after a while.
	EventDrain EventKind = "drain"
	// EventSlow makes members of groups slow for a while.
	EventSlow EventKind = "slow"
	// EventOrderer replaces the orderer.
	EventOrderer EventKind = "orderer"
	// EventDemand multiplies the demand of a model for a while.
	EventDemand EventKind = "demand"
)

// Event is an event of a pattern. Which fields apply depends on its kind.
type Event struct {
	Kind  EventKind `json:"kind"`
	At    Duration  `json:"at"`
	For   Duration  `json:"for,omitempty"`
	Zone  int       `json:"zone,omitempty"`
	Count int       `json:"count,omitempty"`
	Model string    `json:"model,omitempty"`
	// Factor is the factor of the demand.
	Factor float64 `json:"factor,omitempty"`
}

// ModelSpec is a model of a pattern.
type ModelSpec struct {
	Name string   `json:"name"`
	Size int      `json:"size"`
	Load Duration `json:"load"`
	// Warm is the time of a join from the copy on the host.
	Warm  Duration `json:"warm"`
	Share float64  `json:"share"`
	// Demand is the work that arrives, as a number of groups that it keeps busy.
	Demand float64 `json:"demand"`
	// Worth is the value of the work that one group does in a second.
	Worth float64 `json:"worth"`
	// Urgency is the urgency of the requests, 0 is the highest.
	Urgency int `json:"urgency,omitempty"`
	// Period and Swing describe a sine wave of the demand, the swing as a fraction.
	Period Duration `json:"period,omitempty"`
	Swing  float64  `json:"swing,omitempty"`
}

// demandAt returns the factor of the demand by its wave.
func (spec ModelSpec) demandAt(elapsed time.Duration) float64 {
	if spec.Period == 0 {
		return 1
	}
	return 1 + spec.Swing*math.Sin(2*math.Pi*elapsed.Seconds()/time.Duration(spec.Period).Seconds())
}

// Pattern is a deployment and a schedule of its faults.
type Pattern struct {
	Name             string      `json:"name"`
	Zones            int         `json:"zones"`
	DomainsPerZone   int         `json:"domains_per_zone"`
	ServersPerDomain int         `json:"servers_per_domain"`
	Slots            int         `json:"slots"`
	LoadsPerSec      float64     `json:"loads_per_second"`
	ConcurrentLoads  int         `json:"concurrent_loads"`
	Lead             Duration    `json:"lead"`
	Length           Duration    `json:"length"`
	Models           []ModelSpec `json:"models"`
	Events           []Event     `json:"events"`
}

// ReadPattern decodes and checks a pattern in JSON.
func ReadPattern(src io.Reader) (*Pattern, error) {
	dec := json.NewDecoder(src)
	dec.DisallowUnknownFields()
	pat := &Pattern{}
	if err := dec.Decode(pat); err != nil {
		return nil, eris.Wrap(err, "decode pattern")
	}
	if err := pat.check(); err != nil {
		return nil, err
	}
	return pat, nil
}

func (pat *Pattern) check() error {
	switch {
	case pat.Name == "":
		return eris.New("pattern has no name")
	case pat.Zones < 1 || pat.DomainsPerZone < 1 || pat.ServersPerDomain < 1:
		return eris.Errorf("pattern %s: zones, domains_per_zone and servers_per_domain must be positive", pat.Name)
	case pat.Slots < 1 || pat.LoadsPerSec <= 0 || pat.ConcurrentLoads < 1:
		return eris.Errorf("pattern %s: slots, loads_per_second and concurrent_loads must be positive", pat.Name)
	case pat.Length <= 0 || pat.Lead < 0:
		return eris.Errorf("pattern %s: length must be positive and lead not negative", pat.Name)
	case len(pat.Models) != 2:
		return eris.Errorf("pattern %s: has %d models, the bound needs 2", pat.Name, len(pat.Models))
	}
	for _, spec := range pat.Models {
		if !spec.valid() {
			return eris.Errorf("pattern %s: model %q needs a name, positive size, load, warm, demand and worth, and a swing below 1", pat.Name, spec.Name)
		}
	}
	for idx, evt := range pat.Events {
		if err := pat.checkEvent(evt); err != nil {
			return eris.Wrapf(err, "pattern %s: event %d", pat.Name, idx+1)
		}
	}
	return nil
}

func (spec ModelSpec) valid() bool {
	return spec.Name != "" && spec.Size > 0 && spec.Share >= 0 && min(spec.Load, spec.Warm) > 0 && min(spec.Demand, spec.Worth) > 0 &&
		spec.Urgency >= 0 && spec.Period >= 0 && spec.Swing >= 0 && spec.Swing < 1
}

// eventFields are the fields that an event of a kind needs.
type eventFields struct{ count, duration, demand bool }

var fieldsByKind = map[EventKind]eventFields{
	EventLose: {count: true}, EventAdd: {count: true}, EventDrain: {count: true, duration: true}, EventSlow: {count: true, duration: true},
	EventDark: {duration: true}, EventOrderer: {}, EventDemand: {duration: true, demand: true},
}

func (pat *Pattern) checkEvent(evt Event) error {
	fields, known := fieldsByKind[evt.Kind]
	switch {
	case !known:
		return eris.Errorf("kind %q is unknown", evt.Kind)
	case evt.At < 0 || evt.At > pat.Length:
		return eris.New("at is outside of the pattern's length")
	case evt.Zone < 0 || evt.Zone >= pat.Zones:
		return eris.Errorf("zone %d does not exist", evt.Zone)
	case fields.count && evt.Count < 1:
		return eris.Errorf("%s needs a positive count", evt.Kind)
	case fields.duration && evt.For <= 0:
		return eris.Errorf("%s needs a positive for", evt.Kind)
	case fields.demand && evt.Factor <= 0:
		return eris.Errorf("%s needs a positive factor", evt.Kind)
	case fields.demand && !slices.ContainsFunc(pat.Models, func(spec ModelSpec) bool { return spec.Name == evt.Model }):
		return eris.Errorf("model %q does not exist", evt.Model)
	}
	return nil
}

// models returns the models in the form that a configuration has.
func (pat *Pattern) models() []site.Model {
	var out []site.Model
	for _, spec := range pat.Models {
		out = append(out, site.Model{
			Name: spec.Name, GroupSize: spec.Size, InitialShare: spec.Share, TimeFactor: 1, LoadTime: time.Duration(spec.Load), WarmLoadTime: time.Duration(spec.Warm),
		})
	}
	return out
}
