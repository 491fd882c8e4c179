package trial

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
	"kumquathinge/core/route"
	"kumquathinge/core/route/base"
	"kumquathinge/model"
)

// EntryVMs is the number of entry VMs in the zone of ZoneConfig.
const EntryVMs = 2

// ZoneConfig returns the zone of the experiments, with six groups. If slow is
// above 1, one group is a straggler that is slower by this factor.
func ZoneConfig(slow float64) model.Config {
	cfg := model.Config{
		Groups:         6,
		Slots:          8,
		PrefillRate:    4000,
		TokenTime:      25 * time.Millisecond,
		BatchOverhead:  time.Millisecond,
		CacheBlocks:    1200,
		BlockTokens:    16,
		ReportInterval: time.Second,
		ReportLag:      500 * time.Millisecond,
		EventLag:       700 * time.Millisecond,
		EventLoss:      0.1,
	}
	if slow > 1 {
		cfg.Slowdown = map[int]float64{4: slow}
	}
	return cfg
}

// SystemPolicy is the name of the policy that the daemon uses.
const SystemPolicy = "kumquathinge"

// Policies returns the system's policy, baselines that forward all requests
// without admission control, and the system's admission with other choosers.
func Policies() []Policy {
	adm := &admit.Config{}
	router := func() core.Chooser { return route.New(route.Config{}) }
	return []Policy{
		{SystemPolicy, adm, router},
		{"round-robin", nil, func() core.Chooser { return new(base.RoundRobin) }},
		{"least-loaded", nil, func() core.Chooser { return base.LeastLoaded{} }},
		{"route only", nil, router},
		{"admit+round-robin", adm, func() core.Chooser { return new(base.RoundRobin) }},
		{"admit+least-loaded", adm, func() core.Chooser { return base.LeastLoaded{} }},
		{"admit+random", adm, func() core.Chooser { return base.Random{} }},
		{"admit+strict", adm, func() core.Chooser { return base.Rendezvous{} }},
	}
}

// Capacity is the maximum throughput of a zone.
type Capacity struct {
	Requests float64 // per second
	Tokens   float64 // per second
}

// MeasureCapacity returns the capacity of a zone for the mix of requests in
// arrivals: the completion rate if all requests are queued from the start and
// have no effective deadline, and a single entry VM, which therefore counts all
// in-flight requests, sends each to the least loaded group.
func MeasureCapacity(zone model.Config, arrivals []Arrival) Capacity {
	all := Scale(arrivals, 1)
	for idx := range all {
		all[idx].AtMillis = 0
		all[idx].DeadlineMillis = int64(24 * time.Hour / time.Millisecond)
		all[idx].Priority = 0
	}
	res := Run(Config{Zone: zone, EntryVMs: 1, Seed: 1, Policy: Policy{
		Admit:   &admit.Config{MaxQueued: len(all), MaxQueuedPerOrg: len(all)},
		Chooser: func() core.Chooser { return base.LeastLoaded{} },
	}}, all)
	// Omit the last tenth, which runs in partly filled batches.
	num := len(res.completedAt) * 9 / 10
	rate := float64(num) / res.completedAt[num-1].Sub(startTime).Seconds()
	return Capacity{Requests: rate, Tokens: rate * float64(res.Tokens) / float64(len(all))}
}

// RunAtLoad runs a policy with the arrivals scaled to load times the capacity.
func RunAtLoad(pol Policy, zone model.Config, arrivals []Arrival, cap Capacity, load float64) *Result {
	span := time.Duration(arrivals[len(arrivals)-1].AtMillis) * time.Millisecond
	rate := float64(len(arrivals)) / span.Seconds()
	scaled := Scale(arrivals, load*cap.Requests/rate)
	res := Run(Config{Zone: zone, EntryVMs: EntryVMs, Seed: 1, Policy: pol}, scaled)
	res.Load = load
	res.MarkWithin(cap.Tokens, time.Duration(scaled[len(scaled)-1].AtMillis)*time.Millisecond)
	return res
}
