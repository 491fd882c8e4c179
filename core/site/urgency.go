package site

import (
	"maps"
	"slices"
)

// MaxUrgency is the lowest urgency of a request. 0 is the highest.
const MaxUrgency = 9

// clampUrgency returns a configured priority as an urgency.
func clampUrgency(priority int) int { return min(max(priority, 0), MaxUrgency) }

// orgPriorities returns the organisations that have a priority of their own.
func orgPriorities(cfg *Config) map[string]int {
	out := map[string]int{}
	for _, org := range cfg.Orgs {
		if org.Priority != nil {
			out[org.Name] = clampUrgency(*org.Priority)
		}
	}
	return out
}

// Urgency returns the urgency of an organisation's requests on a route: the priority of
// the organisation if it has one, else that of the route.
func (tbl *Table) Urgency(route *Route, org string) int {
	if urgency, ok := tbl.priorityByOrg[org]; ok && !route.Public {
		return urgency
	}
	return clampUrgency(route.Priority)
}

// Levels returns the urgencies of the requests that lead to a service, the highest
// first. It returns nil if its routes have the same priority, or all requests the same
// urgency: the service then has no levels. Priorities of organisations alone rank the
// callers, but don't say that requests of the service compete.
func (tbl *Table) Levels(service string) []int {
	if levels := tbl.urgencies[service]; len(levels) > 1 {
		return levels
	}
	return nil
}

// Contended reports whether the callers of a model service compete: it has levels.
func (tbl *Table) Contended() bool { return tbl.contended }

// serviceUrgencies returns the sorted urgencies of the requests that lead to each service
// whose routes have different priorities.
func serviceUrgencies(cfg *Config) map[string][]int {
	sets := map[string]map[int]bool{}
	priorities := map[string]map[int]bool{}
	for idx := range cfg.Routes {
		route := &cfg.Routes[idx]
		for _, target := range route.Targets {
			if sets[target.Service] == nil {
				sets[target.Service], priorities[target.Service] = map[int]bool{}, map[int]bool{}
			}
			priorities[target.Service][clampUrgency(route.Priority)] = true
			addUrgencies(sets[target.Service], cfg, route)
		}
	}
	out := map[string][]int{}
	for service, set := range sets {
		if len(priorities[service]) < 2 {
			continue
		}
		out[service] = slices.Sorted(maps.Keys(set))
	}
	return out
}

// addUrgencies adds the urgencies of the requests on a route.
func addUrgencies(set map[int]bool, cfg *Config, route *Route) {
	if route.Public || len(cfg.Orgs) == 0 {
		set[clampUrgency(route.Priority)] = true
		return
	}
	for _, org := range cfg.Orgs {
		if org.Priority == nil {
			set[clampUrgency(route.Priority)] = true
		} else {
			set[clampUrgency(*org.Priority)] = true
		}
	}
}
