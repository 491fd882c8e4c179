package tree

import (
	"slices"
	"time"
)

// Type is the type of a setting's value.
type Type string

// Types of settings.
const (
	TypeBool     Type = "bool"
	TypeInt      Type = "int"
	TypeFloat    Type = "float"
	TypeDuration Type = "duration"
	TypeString   Type = "string"
	TypeStrings  Type = "strings"
)

// Key describes one setting. Min and Max bound numbers, and durations in
// seconds; both are zero for the other types. Default is JSON. Where lists the
// places at which the key may be set. Pattern, if not empty, is a regular
// expression that a string, or each of several strings, matches. Rule is the
// number of the fold's rule that brings the key into force, zero if it always
// was.
type Key struct {
	Name    string
	Type    Type
	Min     float64
	Max     float64
	Default string
	Doc     string
	Where   []Place
	Pattern string
	Rule    uint16
}

const (
	maxCount    = 1 << 20
	maxRate     = 1 << 30
	maxDuration = 7 * 24 * time.Hour
)

const (
	patternName   = `^([A-Za-z0-9][A-Za-z0-9._-]{0,127})?$`
	patternRole   = `^(both|prefill|decode)$`
	patternSHA256 = `^[0-9a-f]{64}$`
)

var (
	placesGroup   = []Place{PlaceRoot, PlaceModel, PlaceGroup}
	placesOrg     = []Place{PlaceRoot, PlaceOrg}
	placesRequest = []Place{PlaceRoot, PlaceModel, PlaceGroup, PlaceOrg, PlaceService}
	placesZone    = []Place{PlaceRoot, PlaceZone}
	placesNode    = []Place{PlaceRoot, PlaceZone, PlaceNode}
	placesRoot    = []Place{PlaceRoot}
)

var keys = []Key{
	boolKey("group.enabled", "false", "The group is to be formed and to serve.", placesGroup),
	textKey("group.zone", `""`, patternName, "Availability zone of the group. Empty: any.", placesGroup),
	intKey("group.size", 1, 64, "8", "Number of VMs of the group.", placesGroup),
	textKey("group.domain", `""`, patternName, "Fabric domain of the group. Empty: any.", placesGroup),
	boolKey("group.draining", "false", "The group takes no new requests.", placesGroup),
	textKey("model.version", `""`, patternName, "Version of the model to load.", placesGroup),
	listKey("model.adapters", patternName, "Adapters to load beside the model.", placesGroup),
	textKey("model.role", `"both"`, patternRole, "Part of inference: both, prefill or decode.", placesGroup),
	intKey("model.capacity", 1, maxCount, "32", "Requests that one group runs at once.", placesGroup),
	boolKey("vm.fencing", "false", "The engine refuses orders with an old number.", []Place{PlaceRoot, PlaceVM}),
	boolKey("vm.draining", "false", "The VM takes no new work and leaves its group.", []Place{PlaceRoot, PlaceVM}),
	boolKey("node.draining", "false", "The entry VM takes no new requests.", []Place{PlaceRoot, PlaceNode}),
	listKey("org.key_hashes", patternSHA256, "SHA-256 hashes of the organisation's keys, in hexadecimal.", placesOrg),
	intKey("org.priority", 0, 9, "5", "Highest priority of the organisation's requests; 9 goes first.", placesOrg),
	floatKey("org.weight", 0.001, maxCount, "1", "Share of the organisation among those of one priority.", placesOrg),
	floatKey("org.requests_per_second", 0, maxRate, "100", "Requests per second.", placesOrg),
	floatKey("org.tokens_per_second", 0, maxRate, "100000", "Generated tokens per second.", placesOrg),
	intKey("org.concurrency", 0, maxCount, "256", "Requests in progress.", placesOrg),
	timeKey("request.deadline", time.Millisecond, 24*time.Hour, "30s", "Time that a request may take.", placesRequest),
	intKey("request.max_attempts", 1, 16, "3", "Attempts of a request that may be repeated.", placesRequest),
	floatKey("request.retry_budget", 0, 1, "0.1", "Retries as a share of the requests of a node.", placesRequest),
	timeKey("request.silence", time.Millisecond, time.Hour, "5s", "Bound of the silence on a connection with a request.", placesRequest),
	intKey("queue.depth", 0, maxCount, "256", "Requests that wait at a node.", []Place{PlaceRoot, PlaceModel, PlaceService}),
	timeKey("once.window", time.Second, maxDuration, "10m", "Time for which the key of a request not to be repeated is kept.", placesRoot),
	timeKey("once.clock_error", 0, time.Hour, "5s", "Bound of the error of a caller's clock.", placesRoot),
	timeKey("probe.interval", 10*time.Millisecond, time.Minute, "250ms", "Time between two probes of a backend server.", placesZone),
	timeKey("probe.bound", 20*time.Millisecond, time.Minute, "1s", "Age at which a probe no longer allows a dispatch.", placesZone),
	timeKey("order.lease", 10*time.Millisecond, time.Minute, "2s", "Time for which a confirmed view allows orders to engines that don't refuse old numbers.", placesZone),
	floatKey("policy.downtime_weight", 0, maxCount, "1", "Weight of a group's downtime.", placesZone),
	floatKey("policy.stranded_weight", 0, maxCount, "1", "Weight of a stranded VM's time.", placesZone),
	timeKey("policy.return_wait", 0, 24*time.Hour, "30s", "Time to wait for a missing member to return.", placesZone),
	intKey("policy.spares", 0, maxCount, "0", "VMs kept free in each fabric domain.", placesZone),
	floatKey("weights.loads_per_minute", 0.001, maxCount, "60", "Rate of the weight store.", placesZone),
	timeKey("quarantine.time", 0, maxDuration, "10m", "Time for which a request that crashed backend servers is refused.", placesRoot),
	timeKey("stop.bound", 0, time.Hour, "30s", "Time that a stopping entry VM gives its requests.", placesNode),
	boolKey("service.enabled", "true", "The plain service is routed to.", []Place{PlaceRoot, PlaceService}),
}

var keyIndex = indexKeys()

func indexKeys() map[string]*Key {
	out := make(map[string]*Key, len(keys))
	for idx := range keys {
		out[keys[idx].Name] = &keys[idx]
	}
	return out
}

// Keys returns the schema: every setting, in the order of the documentation.
func Keys() []Key { return slices.Clone(keys) }

func boolKey(nam, def, doc string, whr []Place) Key {
	return Key{Name: nam, Type: TypeBool, Default: def, Doc: doc, Where: whr}
}

func intKey(nam string, low, high float64, def, doc string, whr []Place) Key {
	return Key{Name: nam, Type: TypeInt, Min: low, Max: high, Default: def, Doc: doc, Where: whr}
}

func floatKey(nam string, low, high float64, def, doc string, whr []Place) Key {
	return Key{Name: nam, Type: TypeFloat, Min: low, Max: high, Default: def, Doc: doc, Where: whr}
}

func timeKey(nam string, low, high time.Duration, def, doc string, whr []Place) Key {
	return Key{
		Name: nam, Type: TypeDuration, Min: low.Seconds(), Max: high.Seconds(),
		Default: `"` + def + `"`, Doc: doc, Where: whr,
	}
}

func textKey(nam, def, pat, doc string, whr []Place) Key {
	return Key{Name: nam, Type: TypeString, Default: def, Doc: doc, Where: whr, Pattern: pat}
}

func listKey(nam, pat, doc string, whr []Place) Key {
	return Key{Name: nam, Type: TypeStrings, Default: "[]", Doc: doc, Where: whr, Pattern: pat}
}

// RuleOf returns the number of the rule that brings the key into force, zero
// if it always was or is not in the schema.
func RuleOf(nam string) uint16 {
	if key, ok := keyIndex[nam]; ok {
		return key.Rule
	}
	return 0
}
