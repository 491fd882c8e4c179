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

// Key is the schema of one setting. Min and Max are the limits of numbers, and
// of durations in seconds; both are zero for the other types. Default is JSON.
// AllowedAt lists the kinds of nodes at which the key may be set. Pattern, if
// not empty, is a regular expression that a string, or each string of a list,
// must match. RequiredRule is the number of the recd.Rule that enables the key,
// zero if it is always enabled.
type Key struct {
	Name         string
	Type         Type
	Min          float64
	Max          float64
	Default      string
	Doc          string
	AllowedAt    []NodeKind
	Pattern      string
	RequiredRule uint16
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
	groupKinds   = []NodeKind{KindRoot, KindModel, KindGroup}
	orgKinds     = []NodeKind{KindRoot, KindOrg}
	requestKinds = []NodeKind{KindRoot, KindModel, KindGroup, KindOrg, KindService}
	zoneKinds    = []NodeKind{KindRoot, KindZone}
	nodeKinds    = []NodeKind{KindRoot, KindZone, KindNode}
	rootKinds    = []NodeKind{KindRoot}
)

// ruleZoneEvacuation is the number of fold.RuleZoneEvacuation.
const ruleZoneEvacuation = 2

var keys = []Key{
	boolKey("group.enabled", "false", "The group is to be formed and to serve.", groupKinds),
	stringKey("group.zone", `""`, patternName, "Availability zone of the group. Empty: any.", groupKinds),
	intKey("group.size", 1, 64, "8", "Number of VMs of the group.", groupKinds),
	stringKey("group.domain", `""`, patternName, "Fabric domain of the group. Empty: any.", groupKinds),
	boolKey("group.draining", "false", "The group takes no new requests.", groupKinds),
	stringKey("model.version", `""`, patternName, "Version of the model to load.", groupKinds),
	stringsKey("model.adapters", patternName, "Adapters to load beside the model.", groupKinds),
	stringKey("model.role", `"both"`, patternRole, "Part of inference: both, prefill or decode.", groupKinds),
	intKey("model.capacity", 1, maxCount, "32", "Requests that one group runs at once.", groupKinds),
	boolKey("vm.fencing", "false", "The engine refuses orders with an old number.", []NodeKind{KindRoot, KindVM}),
	boolKey("vm.draining", "false", "The VM takes no new work and leaves its group.", []NodeKind{KindRoot, KindVM}),
	boolKey("node.draining", "false", "The entry VM takes no new requests.", []NodeKind{KindRoot, KindNode}),
	stringsKey("org.key_hashes", patternSHA256, "SHA-256 hashes of the organisation's keys, in hexadecimal.", orgKinds),
	intKey("org.priority", 0, 9, "5", "Highest priority of the organisation's requests; 9 goes first.", orgKinds),
	floatKey("org.weight", 0.001, maxCount, "1", "Share of the organisation among those of one priority.", orgKinds),
	floatKey("org.requests_per_second", 0, maxRate, "100", "Requests per second.", orgKinds),
	floatKey("org.tokens_per_second", 0, maxRate, "100000", "Generated tokens per second.", orgKinds),
	intKey("org.concurrency", 0, maxCount, "256", "Requests in progress.", orgKinds),
	durationKey("request.deadline", time.Millisecond, 24*time.Hour, "30s", "Time that a request may take.", requestKinds),
	intKey("request.max_attempts", 1, 16, "3", "Attempts of a request that may be repeated.", requestKinds),
	floatKey("request.retry_budget", 0, 1, "0.1", "Retries as a share of the requests of a node.", requestKinds),
	durationKey("request.silence", time.Millisecond, time.Hour, "5s", "Bound of the silence on a connection with a request.", requestKinds),
	intKey("queue.depth", 0, maxCount, "256", "Requests that wait at a node.", []NodeKind{KindRoot, KindModel, KindService}),
	durationKey("once.window", time.Second, maxDuration, "10m", "Time for which the key of a request not to be repeated is kept.", rootKinds),
	durationKey("once.clock_error", 0, time.Hour, "5s", "Bound of the error of a caller's clock.", rootKinds),
	durationKey("probe.interval", 10*time.Millisecond, time.Minute, "250ms", "Time between two probes of a backend server.", zoneKinds),
	durationKey("probe.bound", 20*time.Millisecond, time.Minute, "1s", "Age at which a probe no longer allows a dispatch.", zoneKinds),
	durationKey("order.lease", 10*time.Millisecond, time.Minute, "2s", "Time for which a confirmed view allows orders to engines that don't refuse old numbers.", zoneKinds),
	floatKey("policy.downtime_weight", 0, maxCount, "1", "Weight of a group's downtime.", zoneKinds),
	floatKey("policy.stranded_weight", 0, maxCount, "1", "Weight of a stranded VM's time.", zoneKinds),
	durationKey("policy.return_wait", 0, 24*time.Hour, "30s", "Time to wait for a missing member to return.", zoneKinds),
	intKey("policy.spares", 0, maxCount, "0", "VMs kept free in each fabric domain.", zoneKinds),
	floatKey("weights.loads_per_minute", 0.001, maxCount, "60", "Rate of the weight store.", zoneKinds),
	durationKey("quarantine.time", 0, maxDuration, "10m", "Time for which a request that crashed backend servers is refused.", rootKinds),
	durationKey("stop.bound", 0, time.Hour, "30s", "Time that a stopping entry VM gives its requests.", nodeKinds),
	withRule(ruleZoneEvacuation, boolKey("zone.evacuated", "false", "The servers of the zone take no new requests; their groups stay as they are.", zoneKinds)),
	boolKey("service.enabled", "true", "The plain service is routed to.", []NodeKind{KindRoot, KindService}),
}

var keyByName = indexKeys()

func indexKeys() map[string]*Key {
	out := make(map[string]*Key, len(keys))
	for idx := range keys {
		out[keys[idx].Name] = &keys[idx]
	}
	return out
}

// Keys returns the schema of all settings, in the order of the documentation.
func Keys() []Key { return slices.Clone(keys) }

func boolKey(name, def, doc string, kinds []NodeKind) Key {
	return Key{Name: name, Type: TypeBool, Default: def, Doc: doc, AllowedAt: kinds}
}

func intKey(name string, low, high float64, def, doc string, kinds []NodeKind) Key {
	return Key{Name: name, Type: TypeInt, Min: low, Max: high, Default: def, Doc: doc, AllowedAt: kinds}
}

func floatKey(name string, low, high float64, def, doc string, kinds []NodeKind) Key {
	return Key{Name: name, Type: TypeFloat, Min: low, Max: high, Default: def, Doc: doc, AllowedAt: kinds}
}

func durationKey(name string, low, high time.Duration, def, doc string, kinds []NodeKind) Key {
	return Key{
		Name: name, Type: TypeDuration, Min: low.Seconds(), Max: high.Seconds(),
		Default: `"` + def + `"`, Doc: doc, AllowedAt: kinds,
	}
}

func stringKey(name, def, pattern, doc string, kinds []NodeKind) Key {
	return Key{Name: name, Type: TypeString, Default: def, Doc: doc, AllowedAt: kinds, Pattern: pattern}
}

func stringsKey(name, pattern, doc string, kinds []NodeKind) Key {
	return Key{Name: name, Type: TypeStrings, Default: "[]", Doc: doc, AllowedAt: kinds, Pattern: pattern}
}

// withRule returns the key with the rule that enables it.
func withRule(num uint16, key Key) Key {
	key.RequiredRule = num
	return key
}

// RequiredRuleOf returns the number of the rule that enables the key, zero if
// it is always enabled or not in the schema.
func RequiredRuleOf(name string) uint16 {
	if key, ok := keyByName[name]; ok {
		return key.RequiredRule
	}
	return 0
}
