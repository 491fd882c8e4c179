package check

import (
	"fmt"
	"strings"
)

func (cmpr *comparer) routes() {
	matchItems(cmpr.before.Routes, cmpr.after.Routes, routeKey,
		func(route *Route) {
			imp := impact{EffectTakesAccess, "no other route takes its requests"}
			if next := cmpr.after.fallback(route); next != nil {
				imp = impact{EffectTraffic, "its requests go to the " + routeName(next)}
			}
			cmpr.add(KindRemoved, route.Place, routeName(route), route.summary("targets="+route.targetText()), "", imp)
		},
		func(route *Route) {
			imp := impact{}
			if prev := cmpr.before.fallback(route); prev != nil {
				imp = impact{EffectTraffic, "it takes requests from the " + routeName(prev)}
			}
			cmpr.add(KindAdded, route.Place, routeName(route), "", route.summary("targets="+route.targetText()), imp)
		},
		cmpr.route)
}

func routeKey(route *Route) string { return fmt.Sprintf("%q %q", route.Host.Val, route.Prefix.Val) }

func routeName(route *Route) string { return fmt.Sprintf("route %q", route.Host.Val+route.Prefix.Val) }

// route compares two versions of a route.
func (cmpr *comparer) route(before, after *Route) {
	imp := impact{}
	switch {
	case before.Public.Val && !after.Public.Val && len(cmpr.after.Orgs) > 0:
		imp = impact{EffectTakesAccess, "requests without a key are refused"}
	case !before.Public.Val && after.Public.Val && len(cmpr.before.Orgs) > 0:
		imp = impact{EffectOpensAccess, "requests need no key any more"}
	}
	impacts := map[string]impact{}
	if imp.effect != EffectNone {
		impacts[before.Public.Path], impacts[after.Public.Path] = imp, imp
	}
	cmpr.fields(routeName(after), before.Object, after.Object, impacts)
	old, now := before.targetText(), after.targetText()
	if old != now {
		cmpr.add(KindChanged, after.targetPlace(), routeName(after), old, now, impact{EffectTraffic, "other services, or other shares of them, receive the requests"})
	}
}

// fallback returns the route that would take the requests of another one that isn't
// there: the one with the longest prefix of its prefix. It returns nil if there is none.
func (doc *Document) fallback(missing *Route) *Route {
	var out *Route
	for idx := range doc.Routes {
		route := &doc.Routes[idx]
		if route.Host.Val != missing.Host.Val || !strings.HasPrefix(missing.Prefix.Val, route.Prefix.Val) {
			continue
		}
		if out == nil || len(route.Prefix.Val) > len(out.Prefix.Val) {
			out = route
		}
	}
	return out
}

// shares returns the fraction of the requests that each service receives.
func (route *Route) shares() map[string]float64 {
	out := make(map[string]float64)
	sum := 0.0
	if route.Service.Val != "" {
		sum = 1
		out[route.Service.Val] = 1
	}
	for _, target := range route.Split {
		weight := max(0, target.Weight.Val)
		sum += weight
		out[target.Service.Val] += weight
	}
	if sum > 0 {
		for name := range out {
			out[name] /= sum
		}
	}
	return out
}

// targetText returns the services and their shares, in the order of the file.
func (route *Route) targetText() string {
	shares := route.shares()
	names := []string{route.Service.Val}
	for _, target := range route.Split {
		names = append(names, target.Service.Val)
	}
	var parts []string
	for _, name := range names {
		share, ok := shares[name]
		if ok {
			parts = append(parts, fmt.Sprintf("%s %.4g%%", name, 100*share))
		}
		delete(shares, name)
	}
	return strings.Join(parts, ", ")
}

func (route *Route) targetPlace() Place {
	if len(route.Split) > 0 {
		return route.SplitPlace
	}
	return route.Service.Place
}
