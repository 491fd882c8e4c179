package soak

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"
)

const (
	// levelStepTime is the time per token that the configuration states for profiles with
	// priorities: streams whose events are 78 ms apart take as long as it predicts.
	levelStepTime = 13 * time.Millisecond
	// minJudged is the number of requests of a priority from which on it is judged.
	minJudged = 200
	// servedSlack is how much less often an urgent request may be served, beside chance.
	servedSlack = 0.02
)

// hasLevels reports whether routes of the profile that lead to the same service differ in
// priority.
func (prof *Profile) hasLevels() bool {
	priorities := map[string]int{}
	for _, rt := range prof.Routes {
		service := rt.siteRoute(rt.Name).Targets[0].Service
		if known, ok := priorities[service]; ok && known != rt.Priority {
			return true
		}
		priorities[service] = rt.Priority
	}
	return false
}

// LevelCount counts the requests of a service with one priority, and those served.
type LevelCount struct{ Priority, Asked, Served int }

// ratio returns the part that was served, and the variance of that number.
func (cnt LevelCount) ratio() (ratio, variance float64) {
	ratio = float64(cnt.Served) / float64(cnt.Asked)
	return ratio, ratio * (1 - ratio) / float64(cnt.Asked)
}

// JudgeUrgency returns a violation for each priority whose requests were served less often
// than those of the next less urgent one, by more than chance explains (three standard
// deviations).
func JudgeUrgency(service string, counts []LevelCount) []string {
	counts = slices.DeleteFunc(slices.Clone(counts), func(cnt LevelCount) bool { return cnt.Asked < minJudged })
	slices.SortFunc(counts, func(one, two LevelCount) int { return one.Priority - two.Priority })
	var out []string
	for idx := 1; idx < len(counts); idx++ {
		urgent, other := counts[idx-1], counts[idx]
		ratio, variance := urgent.ratio()
		otherRatio, otherVariance := other.ratio()
		if otherRatio-ratio > servedSlack+3*math.Sqrt(variance+otherVariance) {
			out = append(out, fmt.Sprintf("service %s: priority %d: %d of %d requests served, priority %d: %d of %d", service, urgent.Priority, urgent.Served, urgent.Asked, other.Priority, other.Served, other.Asked))
		}
	}
	return out
}

// judgeUrgency judges the requests of the run that their clients did not cancel. It
// returns no violations for profiles without levels.
func (dep *deployment) judgeUrgency() []string {
	dep.levelCounts = map[string][]LevelCount{}
	if !dep.profile.hasLevels() {
		return nil
	}
	counts := map[string]map[int]LevelCount{}
	for _, call := range dep.calls.all() {
		// The routes of version checks are not part of the profile.
		if call.cancelled || dep.profile.route(call.kind).Name != call.kind {
			continue
		}
		service := call.route.siteRoute(call.kind).Targets[0].Service
		if counts[service] == nil {
			counts[service] = map[int]LevelCount{}
		}
		cnt := counts[service][call.route.Priority]
		cnt.Priority = call.route.Priority
		cnt.Asked++
		if call.status == http.StatusOK && call.complete {
			cnt.Served++
		}
		counts[service][call.route.Priority] = cnt
	}
	var out []string
	for service, byPriority := range counts {
		dep.levelCounts[service] = slices.Collect(maps.Values(byPriority))
		out = append(out, JudgeUrgency(service, dep.levelCounts[service])...)
	}
	return out
}
