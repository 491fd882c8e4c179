package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind uint8

// Kinds of faults. Those up to LastPlanned are planned maintenance, during which
// no request may be lost.
const (
	// NodeTerm stops a node with SIGTERM and restarts it.
	NodeTerm Kind = iota
	// NodeHup makes a node reload its settings with SIGHUP.
	NodeHup
	// Configure writes a new version of the configuration to the store.
	Configure
	// ServerDrain adds a backend server, then drains another one of the same
	// service.
	ServerDrain
	// NodeKill kills a node with SIGKILL, NodeKillAll kills all nodes. They are
	// restarted.
	NodeKill
	NodeKillAll
	// NodeFreeze suspends a node with SIGSTOP, and resumes it with SIGCONT.
	NodeFreeze
	// StoreRefuse, StoreDrop, StoreSilent, StoreSlow and StoreLost make calls
	// to the store fail with status 503, be reset, hang, be delayed, or be
	// reset after they took effect, for all nodes or some.
	StoreRefuse
	StoreDrop
	StoreSilent
	StoreSlow
	StoreLost
	// StoreCompact compacts the history of the store's topics.
	StoreCompact
	// ServerFreeze freezes a backend server, which then restarts without its
	// state.
	ServerFreeze
	// LinkDelay and LinkReset delay or reset the connections to a backend
	// server. LinkOut drops the bytes to it, LinkIn those from it.
	LinkDelay
	LinkReset
	LinkOut
	LinkIn
	// ServerSlow, ServerFail, ServerRefuse, ServerCut and ServerStall make a
	// backend server delay responses, return status 500, reject requests,
	// break off responses or stall within them, for a share of its requests.
	ServerSlow
	ServerFail
	ServerRefuse
	ServerCut
	ServerStall
	numKinds
	// StoreRestore makes the store refuse all calls and then come back from an older
	// copy. It is drawn apart from the other kinds, whose schedules stay as they were.
	StoreRestore
	// UploadBurst lets clients send large bodies to all nodes. It is drawn apart too,
	// for profiles that have such bodies.
	UploadBurst
	// ServerGarble makes a backend server send bytes that are no answer: a head or a body
	// without end, a response that is lost after some bytes, or another request's before
	// its own. It is drawn apart too.
	ServerGarble
	// ServerCold makes a backend server cold, with or without a restart. It is drawn apart
	// too.
	ServerCold
	// ServerUneven makes a third of the backend servers slower, and much slower while
	// they get more than a few requests a second. It is drawn apart too.
	ServerUneven
	// ServerRepeat makes half of the backend servers refuse a part of their requests, and
	// send a share of their responses twice. It is drawn apart too.
	ServerRepeat
	// NodeStranded cuts a node, or most nodes, off from all backend servers. It is drawn
	// apart too.
	NodeStranded
	// ServerWave cuts a part of the backend servers off from all nodes, but not from the
	// store. It is drawn apart too.
	ServerWave
	// NodeLateTerm stops a node whose process runs late when the signal arrives. It is
	// never drawn.
	NodeLateTerm
	// Evacuate takes a zone out of service and back. It is drawn apart too, also in
	// planned maintenance.
	Evacuate
)

// LastPlanned is the last kind of planned maintenance.
const LastPlanned = ServerDrain

// kindNames maps the kinds to their names in reports and logs. Some are older than
// the names of the constants, and stay.
var kindNames = [numKinds]string{
	"node_term", "node_hup", "configure", "server_drain", "node_kill", "herd", "node_freeze", "store_refuse", "store_drop", "store_silent",
	"store_slow", "store_lost", "store_forget", "server_dark", "link_delay", "link_reset", "link_out", "link_in", "server_slow", "server_fail",
	"server_refuse", "server_cut", "server_stall",
}

func (kind Kind) String() string {
	switch kind {
	case StoreRestore:
		return "store_restore"
	case UploadBurst:
		return "upload_burst"
	case ServerGarble:
		return "server_garble"
	case ServerCold:
		return "server_cold"
	case ServerUneven:
		return "server_uneven"
	case ServerRepeat:
		return "server_repeat"
	case NodeStranded:
		return "node_stranded"
	case ServerWave:
		return "server_wave"
	case NodeLateTerm:
		return "node_late_term"
	case Evacuate:
		return "evacuate"
	}
	return kindNames[kind]
}

// Fault is one scheduled fault of a run.
type Fault struct {
	Kind Kind
	// StartsAfter is the time from the start of the run to that of the fault,
	// Duration the time until it is undone.
	StartsAfter, Duration time.Duration
	// TargetSeed determines the nodes or servers that are affected, Share is
	// the fraction of nodes or requests.
	TargetSeed uint64
	Share      float64
}

// String describes the fault in one line.
func (fault Fault) String() string {
	return fmt.Sprintf("%v %v for %v share %.2f target seed %x", fault.StartsAfter, fault.Kind, fault.Duration, fault.Share, fault.TargetSeed)
}

// Timing of faults.
const (
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
	// maxGap is the longest time between the starts of two faults. Faults last
	// longer on average, so that they overlap.
	maxGap = 900 * time.Millisecond
	// extraPlannedGap is added to the gaps of planned maintenance.
	extraPlannedGap = 300 * time.Millisecond
	// repeatProbability is the probability that a fault has the kind of the
	// previous one, because real faults often come in series.
	repeatProbability = 0.3
	// plannedSeedInterval is the number of consecutive seeds of which one has
	// planned maintenance only.
	plannedSeedInterval = 4
)

// Schedule returns the faults that start within duration, as determined by the
// seed. planned is true if they are planned maintenance only.
func Schedule(seed uint64, duration time.Duration) (faults []Fault, planned bool) {
	rng := rand.New(rand.NewPCG(seed, 0))
	planned = seed%plannedSeedInterval == 0
	kinds := int64(numKinds)
	if planned {
		kinds = int64(LastPlanned) + 1
	}
	kind := Kind(rng.Int64N(kinds))
	for startsAfter := time.Duration(0); ; {
		startsAfter += time.Duration(rng.Int64N(int64(maxGap)))
		if planned {
			startsAfter += extraPlannedGap
		}
		if startsAfter > duration {
			return addRestores(faults, seed, duration, planned), planned
		}
		if rng.Float64() > repeatProbability {
			kind = Kind(rng.Int64N(kinds))
		}
		faults = append(faults, Fault{
			Kind: kind, StartsAfter: startsAfter, Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))), TargetSeed: rng.Uint64(), Share: 0.1 + 0.9*rng.Float64(),
		})
	}
}

// restoreProbability is the probability that the store comes back from an older copy
// in a run. Then it does so once or twice.
const restoreProbability = 0.4

// addRestores adds the returns of the store from older copies.
func addRestores(faults []Fault, seed uint64, duration time.Duration, planned bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	if planned || rng.Float64() > restoreProbability {
		return faults
	}
	for range 1 + rng.IntN(2) {
		faults = append(faults, Fault{
			Kind: StoreRestore, StartsAfter: time.Duration(rng.Int64N(int64(duration))), Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration)/2)),
			TargetSeed: rng.Uint64(), Share: 1,
		})
	}
	sortFaults(faults)
	return faults
}

// AddGarble adds servers that send bytes that are no answer to the faults of a seed: up to
// three, none to planned maintenance.
func AddGarble(faults []Fault, seed uint64, duration time.Duration, planned bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	if planned {
		return faults
	}
	for range rng.IntN(4) {
		faults = append(faults, Fault{
			Kind: ServerGarble, StartsAfter: time.Duration(rng.Int64N(int64(duration))), Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
			TargetSeed: rng.Uint64(), Share: 0.1 + 0.9*rng.Float64(),
		})
	}
	sortFaults(faults)
	return faults
}

// AddCold adds servers that become cold to the faults of a seed: two to six, none to
// planned maintenance.
func AddCold(faults []Fault, seed uint64, duration time.Duration, planned bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	if planned {
		return faults
	}
	return appendFaults(faults, rng, ServerCold, 2+rng.IntN(5), duration, minDuration, (maxDuration-minDuration)/2)
}

// AddUneven adds servers of different speed to the faults of a seed: up to two times, none
// to planned maintenance.
func AddUneven(faults []Fault, seed uint64, duration time.Duration, planned bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, 6))
	if planned {
		return faults
	}
	return appendFaults(faults, rng, ServerUneven, rng.IntN(3), duration, maxDuration, maxDuration)
}

// AddRepeat adds servers that send responses twice to the faults of a seed: two to four,
// none to planned maintenance.
func AddRepeat(faults []Fault, seed uint64, duration time.Duration, planned bool) []Fault {
	rng := rand.New(rand.NewPCG(seed, 7))
	if planned {
		return faults
	}
	return appendFaults(faults, rng, ServerRepeat, 2+rng.IntN(3), duration, maxDuration, maxDuration)
}

// appendFaults adds num faults of a kind that last at least shortest, and up to spread
// longer.
func appendFaults(faults []Fault, rng *rand.Rand, kind Kind, num int, duration, shortest, spread time.Duration) []Fault {
	for range num {
		faults = append(faults, Fault{
			Kind: kind, StartsAfter: time.Duration(rng.Int64N(int64(duration))), Duration: shortest + time.Duration(rng.Int64N(int64(spread))),
			TargetSeed: rng.Uint64(), Share: rng.Float64(),
		})
	}
	sortFaults(faults)
	return faults
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.StartsAfter, b.StartsAfter) })
}

// AddUploads adds bursts of uploads to the faults of a seed: none, one or two.
func AddUploads(faults []Fault, seed uint64, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 3))
	for range rng.IntN(3) {
		faults = append(faults, Fault{Kind: UploadBurst, StartsAfter: time.Duration(rng.Int64N(int64(duration))), Duration: minDuration, Share: 1})
	}
	sortFaults(faults)
	return faults
}
