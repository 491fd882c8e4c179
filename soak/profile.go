package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kumquathinge/core/site"
	"kumquathinge/platform/platfk"
)

// Span is a duration that is written as text, for example "250ms".
type Span time.Duration

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (sp *Span) UnmarshalText(raw []byte) error {
	dur, err := time.ParseDuration(string(raw))
	*sp = Span(dur)
	return err
}

// Profile is the traffic of one kind of deployment. The files in deploy/traffic hold
// profiles.
type Profile struct {
	ClientsPerNode int `json:"clientsPerNode"`
	// IdleTimeout is the idle timeout of the configuration. Clients use connections
	// that have been idle for up to four fifths of it.
	IdleTimeout Span `json:"idleTimeout"`
	// SpareShare is the share of connections that stay open for a while before their
	// first request.
	SpareShare    float64 `json:"spareShare"`
	MeanThinkTime Span    `json:"meanThinkTime"`
	// UploadSize is the size of the bodies in a burst of uploads, in bytes. Zero
	// disables bursts.
	UploadSize int            `json:"uploadSize"`
	Routes     []RouteProfile `json:"routes"`
}

// RouteProfile is the traffic on one route. Two values are the ends of a range.
type RouteProfile struct {
	Name string `json:"name"`
	// Kind is "stream", "once" or "idempotent".
	Kind      string `json:"kind"`
	Resumable bool   `json:"resumable"`
	// Weight is the share of the requests on the route, relative to other routes.
	Weight float64 `json:"weight"`
	// Deadline is the clients' deadline and the timeout of the route.
	Deadline  Span `json:"deadline"`
	Objective Span `json:"objective"`
	// Gap is the target for the interval between events.
	Gap Span `json:"gap"`
	// Events is the number of events of a stream, Interval the time before each event
	// or before the answer of a plain service, Body the size of a body in bytes.
	Events   [2]int  `json:"events"`
	Interval [2]Span `json:"interval"`
	Body     [2]int  `json:"body"`
	Attempts int     `json:"attempts"`
	// Retries is how often a client sends a request again.
	Retries int `json:"retries"`
	// Priority 0 is the highest.
	Priority int `json:"priority"`
}

// LoadProfile reads a profile from a file.
func LoadProfile(path string) (*Profile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading a traffic profile")
	}
	var out Profile
	err = json.Unmarshal(raw, &out)
	if err != nil {
		return nil, eris.Wrapf(err, "decoding the traffic profile %s", path)
	}
	for _, rt := range out.Routes {
		if _, ok := kindsByName[rt.Kind]; !ok {
			return nil, eris.Errorf("traffic profile %s: route %s has the unknown kind %q", path, rt.Name, rt.Kind)
		}
	}
	return &out, nil
}

var kindsByName = map[string]site.RequestKind{"stream": site.KindStream, "once": site.KindAtMostOnce, "idempotent": site.KindIdempotent}

// ShortProfile returns the traffic of short streams from clients without spare
// connections.
func ShortProfile() *Profile {
	rt := func(name, kind string, attempts int) RouteProfile {
		return RouteProfile{
			Name: name, Kind: kind, Resumable: kind == "stream", Weight: 1, Deadline: Span(4 * time.Second), Objective: Span(200 * time.Millisecond), Gap: Span(250 * time.Millisecond),
			Events: [2]int{12, 12}, Interval: [2]Span{Span(15 * time.Millisecond), Span(15 * time.Millisecond)}, Attempts: attempts,
		}
	}
	return &Profile{
		ClientsPerNode: 4, MeanThinkTime: Span(40 * time.Millisecond),
		Routes: []RouteProfile{rt("stream", "stream", 2), rt("charge", "once", 1), rt("read", "idempotent", 2)},
	}
}

// route returns the profile of the named route. Routes of version checks have that of
// an idempotent route.
func (prof *Profile) route(name string) RouteProfile {
	for _, rt := range prof.Routes {
		if rt.Name == name {
			return rt
		}
	}
	for _, rt := range prof.Routes {
		if rt.Kind == "idempotent" {
			return rt
		}
	}
	return RouteProfile{}
}

// pick returns a random route by weight.
func (prof *Profile) pick(rng *rand.Rand) RouteProfile {
	sum := 0.0
	for _, rt := range prof.Routes {
		sum += rt.Weight
	}
	pos := rng.Float64() * sum
	for _, rt := range prof.Routes {
		if pos -= rt.Weight; pos < 0 {
			return rt
		}
	}
	return prof.Routes[len(prof.Routes)-1]
}

// siteRoute returns the route of the configuration.
func (rt RouteProfile) siteRoute(name string) site.Route {
	service := plainService
	if rt.Kind == "stream" {
		service = engineService
	}
	return site.Route{
		Name: name, Host: requestHost, Prefix: "/" + name + "/", Kind: kindsByName[rt.Kind], Targets: []site.Target{{Service: service, Weight: 1}},
		Timeout: time.Duration(rt.Deadline), TargetLatency: time.Duration(rt.Objective), TargetEventGap: time.Duration(rt.Gap), MaxAttempts: rt.Attempts, Resumable: rt.Resumable, Priority: rt.Priority,
	}
}

// mayRepeat reports whether a request of the route may run more than once.
func (rt RouteProfile) mayRepeat() bool { return rt.Kind == "idempotent" || rt.Resumable }

// work is what a server does for a request.
type work struct {
	events   int
	interval time.Duration
}

// drawWork returns random work for a request of the route.
func (rt RouteProfile) drawWork(rng *rand.Rand) work {
	between := func(from, to int64) int64 { return from + rng.Int64N(to-from+1) }
	return work{
		events:   int(between(int64(rt.Events[0]), int64(rt.Events[1]))),
		interval: time.Duration(between(int64(rt.Interval[0]), int64(rt.Interval[1]))),
	}
}

// workHeader is the header that tells the server what to do for a request.
const workHeader = "Soak-Work"

func (wrk work) String() string { return fmt.Sprintf("%d,%d", wrk.events, wrk.interval.Microseconds()) }

// requestedWork returns the work that a request asks for.
func requestedWork(req *http.Request) platfk.Response {
	events, interval, _ := strings.Cut(req.Header.Get(workHeader), ",")
	num, err := strconv.Atoi(events)
	if err != nil {
		return platfk.Response{}
	}
	micros, err := strconv.Atoi(interval)
	if err != nil {
		return platfk.Response{}
	}
	return platfk.Response{Events: num, Delay: time.Duration(micros) * time.Microsecond}
}
