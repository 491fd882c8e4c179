package trial

import (
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
	"kumquathinge/core/route"
	"kumquathinge/core/route/base"
	"kumquathinge/model"
)

// Nodes is the number of entry VMs of Zone.
const Nodes = 2

// Zone returns the zone of the experiments: six groups, of which one is a
// straggler if slow is above 1.
func Zone(slow float64) model.Config {
	cfg := model.Config{
		Groups:      6,
		Slots:       8,
		Prefill:     4000,
		TokenTime:   25 * time.Millisecond,
		BatchTime:   time.Millisecond,
		CacheBlocks: 1200,
		BlockTokens: 16,
		ReportEvery: time.Second,
		ReportLag:   500 * time.Millisecond,
		EventLag:    700 * time.Millisecond,
		EventLoss:   0.1,
	}
	if slow > 1 {
		cfg.Slow = map[int]float64{4: slow}
	}
	return cfg
}

// System is the name of the policy that the daemon runs.
const System = "kumquathinge"

// Policies returns the system's policy, the plain baselines, which send all
// requests on at once, and the system's admission with other choosers.
func Policies() []Policy {
	adm := &admit.Config{}
	router := func() core.Chooser { return route.New(route.Config{}) }
	return []Policy{
		{System, adm, router},
		{"round-robin", nil, func() core.Chooser { return new(base.RoundRobin) }},
		{"least-loaded", nil, func() core.Chooser { return base.LeastLoaded{} }},
		{"route only", nil, router},
		{"admit+round-robin", adm, func() core.Chooser { return new(base.RoundRobin) }},
		{"admit+least-loaded", adm, func() core.Chooser { return base.LeastLoaded{} }},
		{"admit+random", adm, func() core.Chooser { return base.Random{} }},
		{"admit+strict", adm, func() core.Chooser { return base.Rendezvous{} }},
	}
}

// Capacity is what a zone can do.
type Capacity struct {
	Requests float64 // per second
	Tokens   float64 // per second
}

// Measure returns the capacity of a zone for the arrivals' mix: the rate at
// which it ends them if all wait from the start, there are no deadlines, and
// one entry VM that knows all requests in flight sends each to the group with
// most room.
func Measure(zone model.Config, arrs []Arrival) Capacity {
	all := Scale(arrs, 1)
	for idx := range all {
		all[idx].At = 0
		all[idx].Deadline = int64(24 * time.Hour / time.Millisecond)
		all[idx].Priority = 0
	}
	res := Run(Config{Zone: zone, Nodes: 1, Seed: 1, Policy: Policy{
		Admit:   &admit.Config{MaxQueued: len(all), MaxQueuedPerOrg: len(all)},
		Chooser: func() core.Chooser { return base.LeastLoaded{} },
	}}, all)
	// The last tenth runs in batches that aren't full.
	num := len(res.ends) * 9 / 10
	rate := float64(num) / res.ends[num-1].Sub(epoch).Seconds()
	return Capacity{Requests: rate, Tokens: rate * float64(res.Tokens) / float64(len(all))}
}

// Experiment runs a policy at a load of so many times the capacity.
func Experiment(pol Policy, zone model.Config, arrs []Arrival, cap Capacity, load float64) *Result {
	span := time.Duration(arrs[len(arrs)-1].At) * time.Millisecond
	rate := float64(len(arrs)) / span.Seconds()
	scaled := Scale(arrs, load*cap.Requests/rate)
	res := Run(Config{Zone: zone, Nodes: Nodes, Seed: 1, Policy: pol}, scaled)
	res.Load = load
	res.Within(cap.Tokens, time.Duration(scaled[len(scaled)-1].At)*time.Millisecond)
	return res
}
