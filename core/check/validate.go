package check

import (
	"cmp"
	"strings"
	"time"

	"kumquathinge/core/site"
)

// Ranges of values. The upper ends of times, attempts, weights and rates are far
// above what is useful: values beyond them are mistakes of unit.
const (
	maxTime     = 24 * time.Hour
	maxPriority = 9
	maxAttempts = 16
	maxNumber   = 1e9
	maxCount    = 1 << 30
)

// checker collects findings.
type checker struct {
	doc      *Document
	findings []Finding
}

// Validate returns the findings in doc, sorted by line.
func Validate(doc *Document) []Finding {
	chk := &checker{doc: doc}
	if doc.Version.Val <= 0 {
		chk.errorf(doc.Version.Place, CodeVersion, "the version is missing or not positive; such a configuration is not taken")
	}
	chk.routes()
	chk.services()
	chk.orgs()
	chk.limits(&doc.Limits)
	Sort(chk.findings)
	return chk.findings
}

// ValidateVersion returns an error if the version of doc is not higher than that of
// the configuration that it replaces.
func ValidateVersion(doc, before *Document) []Finding {
	if doc.Version.Val > before.Version.Val {
		return nil
	}
	return []Finding{Errorf(doc.Version.Place, CodeVersionNotHigher, "version %d is not higher than version %d, which it is compared with",
		doc.Version.Val, before.Version.Val)}
}

func (chk *checker) errorf(place Place, code Code, format string, args ...any) {
	chk.findings = append(chk.findings, Errorf(place, code, format, args...))
}

func (chk *checker) warnf(place Place, code Code, format string, args ...any) {
	chk.findings = append(chk.findings, Warnf(place, code, format, args...))
}

// inRange reports values outside low to high.
func inRange[T cmp.Ordered](chk *checker, low, high T, vals ...Value[T]) {
	for _, val := range vals {
		if val.Val < low || val.Val > high {
			chk.errorf(val.Place, CodeRange, "must be between %v and %v", low, high)
		}
	}
}

// name reports a name that is missing or was used before.
func (chk *checker) name(seen map[string]int, name Value[string], what string) {
	if name.Val == "" {
		chk.errorf(name.Place, CodeMissing, "the %s has no name", what)
		return
	}
	line, ok := seen[name.Val]
	if ok {
		chk.errorf(name.Place, CodeDuplicateName, "the name %q is used for another %s at line %d", name.Val, what, line)
		return
	}
	seen[name.Val] = name.Line
}

func (chk *checker) routes() {
	services := make(map[string]bool)
	for idx := range chk.doc.Services {
		services[chk.doc.Services[idx].Name.Val] = true
	}
	names := make(map[string]int)
	lines := make(map[[2]string]int)
	for idx := range chk.doc.Routes {
		route := &chk.doc.Routes[idx]
		chk.name(names, route.Name, "route")
		chk.match(lines, route)
		chk.targets(services, route)
		chk.routeLimits(route)
	}
}

// match reports routes that match no request, or others than intended.
func (chk *checker) match(lines map[[2]string]int, route *Route) {
	if route.Host.Val == "" {
		chk.errorf(route.Host.Place, CodeMissing, "the route has no host, so it can't match")
	}
	prefix := route.Prefix.Val
	switch {
	case prefix == "":
		chk.warnf(route.Prefix.Place, CodePrefixStart, "the route has no path prefix, so it matches all paths; write / if that is intended")
	case !strings.HasPrefix(prefix, "/"):
		chk.errorf(route.Prefix.Place, CodePrefixStart, "the prefix %q doesn't begin with a slash, so it can't match", prefix)
	case !strings.HasSuffix(prefix, "/"):
		chk.warnf(route.Prefix.Place, CodePrefixEnd, "the prefix %q doesn't end with a slash, so it also matches %q", prefix, prefix+"x")
	}
	key := [2]string{route.Host.Val, prefix}
	line, ok := lines[key]
	if ok {
		chk.errorf(route.Place, CodeDuplicateRoute, "the route can't match: the one at line %d has the same host and prefix", line)
		return
	}
	lines[key] = route.Line
}

func (chk *checker) targets(services map[string]bool, route *Route) {
	if route.Service.Val == "" && len(route.Split) == 0 {
		chk.errorf(route.Service.Place, CodeNoTarget, "the route has no target")
		return
	}
	sum := 0.0
	seen := make(map[string]bool)
	if route.Service.Val != "" {
		sum = 1
		seen[route.Service.Val] = true
		chk.reference(services, route.Service)
		if len(route.Split) > 0 {
			chk.warnf(route.Service.Place, CodeTargetTwice, "the service is a target of weight 1 beside those of the split")
		}
	}
	for _, target := range route.Split {
		inRange(chk, 0, maxNumber, target.Weight)
		sum += max(0, target.Weight.Val)
		if target.Service.Val == "" {
			chk.errorf(target.Service.Place, CodeNoTarget, "the target names no service")
			continue
		}
		chk.reference(services, target.Service)
		if seen[target.Service.Val] {
			chk.warnf(target.Service.Place, CodeTargetTwice, "the service %q is a target of the route twice", target.Service.Val)
		}
		seen[target.Service.Val] = true
	}
	if sum == 0 {
		chk.errorf(route.Split[0].Weight.Place, CodeZeroWeights, "all weights of the route are zero")
	}
}

func (chk *checker) reference(services map[string]bool, name Value[string]) {
	if !services[name.Val] {
		chk.errorf(name.Place, CodeUnknownService, "there is no service %q", name.Val)
	}
}

func (chk *checker) routeLimits(route *Route) {
	inRange(chk, 0, maxTime, route.Timeout, route.TargetLatency, route.TargetEventGap)
	inRange(chk, 0, maxPriority, route.Priority)
	inRange(chk, 0, maxAttempts, route.MaxAttempts)
	if !route.KindKnown.Val {
		chk.warnf(route.KindKnown.Place, CodeUnknownKind, "the kind is missing or unknown; requests are treated as ones that may run only once")
	}
	if route.Timeout.Val <= 0 {
		return
	}
	if route.TargetLatency.Val > route.Timeout.Val {
		chk.errorf(route.TargetLatency.Place, CodeLatencyAboveTimeout, "the target latency of %v is above the timeout of %v", route.TargetLatency.Val, route.Timeout.Val)
	}
	if route.TargetEventGap.Val > route.Timeout.Val {
		chk.errorf(route.TargetEventGap.Place, CodeGapAboveTimeout, "the target for gaps of %v is above the timeout of %v", route.TargetEventGap.Val, route.Timeout.Val)
	}
}

func (chk *checker) services() {
	names := make(map[string]int)
	models := make(map[string]int)
	for idx := range chk.doc.Services {
		svc := &chk.doc.Services[idx]
		chk.name(names, svc.Name, "service")
		inRange(chk, 0, maxCount, svc.MaxConns)
		inRange(chk, 0, maxTime, svc.ColdStart)
		inRange(chk, 0, maxNumber, svc.ColdPerSecond)
		switch {
		case svc.ColdStart.Val > 0 && svc.ColdPerSecond.Val <= 0:
			chk.errorf(svc.ColdStart.Place, CodeColdIncomplete, "a cold time without a rate has no effect: servers get full load at once")
		case svc.ColdPerSecond.Val > 0 && svc.ColdStart.Val <= 0:
			chk.errorf(svc.ColdPerSecond.Place, CodeColdIncomplete, "a rate for cold servers without a cold time has no effect")
		}
		if svc.Engine != nil {
			chk.engine(svc.Engine, models)
		}
	}
}

// engine checks the profile of an engine. A model name identifies a model among those
// of all services.
func (chk *checker) engine(eng *Engine, names map[string]int) {
	inRange(chk, 1, maxCount, eng.Slots)
	inRange(chk, 0, maxCount, eng.MemoryTokens)
	inRange(chk, 0, maxCount, eng.Counts...)
	inRange(chk, 0, maxTime, eng.Times...)
	inRange(chk, 0, maxNumber, eng.Rates...)
	inRange(chk, 0, maxNumber, eng.TypicalPromptTokens, eng.TypicalOutputTokens)
	memory := float64(eng.MemoryTokens.Val)
	if memory > 0 && eng.TypicalPromptTokens.Val+eng.TypicalOutputTokens.Val > memory {
		chk.errorf(eng.TypicalPromptTokens.Place, CodePromptAboveMemory,
			"a usual prompt and its answer have %g tokens, the memory of a group holds %g", eng.TypicalPromptTokens.Val+eng.TypicalOutputTokens.Val, memory)
	}
	if len(eng.Models) == 0 {
		chk.errorf(eng.Place, CodeNoModels, "the service has an engine but no models")
	}
	for idx := range eng.Models {
		model := &eng.Models[idx]
		chk.modelName(names, model.Name)
		inRange(chk, 1, site.MaxGroupSize, model.GroupSize)
		inRange(chk, 0, maxNumber, model.Share, model.TimeFactor)
		inRange(chk, 0, maxTime, model.LoadTime, model.WarmLoadTime)
	}
}

func (chk *checker) modelName(names map[string]int, name Value[string]) {
	if name.Val == "" {
		chk.errorf(name.Place, CodeMissing, "the model has no name")
		return
	}
	line, ok := names[name.Val]
	if ok {
		chk.errorf(name.Place, CodeDuplicateModel, "the model %q is listed at line %d already", name.Val, line)
		return
	}
	names[name.Val] = name.Line
}

func (chk *checker) orgs() {
	names := make(map[string]int)
	owners := make(map[string]Place)
	for idx := range chk.doc.Orgs {
		org := &chk.doc.Orgs[idx]
		chk.name(names, org.Name, "organisation")
		inRange(chk, 0, maxPriority, org.Priority)
		if len(org.Keys) == 0 {
			chk.errorf(org.Place, CodeNoKeys, "the organisation has no keys, so none of its requests are accepted")
		}
		for _, key := range org.Keys {
			chk.key(owners, key)
		}
	}
}

// key checks a key of an organisation. Messages name its path, never the key.
func (chk *checker) key(owners map[string]Place, key Value[string]) {
	if key.Val == "" {
		chk.errorf(key.Place, CodeEmptyKey, "the key is empty")
		return
	}
	owner, ok := owners[key.Val]
	if ok {
		chk.errorf(key.Place, CodeDuplicateKey, "the key is the same as %s at line %d", owner.Path, owner.Line)
		return
	}
	owners[key.Val] = key.Place
}

func (chk *checker) limits(lim *Limits) {
	inRange(chk, 0, maxCount, lim.MaxHeaderBytes, lim.MaxBodyBytes)
	inRange(chk, 0, maxTime, lim.HeaderTimeout, lim.IdleTimeout)
	if lim.IdleTimeout.Val > 0 && lim.HeaderTimeout.Val > lim.IdleTimeout.Val {
		chk.errorf(lim.HeaderTimeout.Place, CodeHeaderAboveIdle, "the header timeout of %v is above the idle timeout of %v", lim.HeaderTimeout.Val, lim.IdleTimeout.Val)
	}
}
