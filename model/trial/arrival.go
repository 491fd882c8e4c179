package trial

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kumquathinge/core"
	"kumquathinge/queue"
)

// Arrival is one recorded request. Times are in milliseconds. The first
// Shared blocks of the prompt are those of the system prompt Prefix.
type Arrival struct {
	At       int64        `json:"at"`
	Org      core.OrgName `json:"org"`
	Prefix   uint64       `json:"pre"`
	Shared   int          `json:"sh"`
	Prompt   int          `json:"in"`  // tokens
	Output   int          `json:"out"` // tokens
	Max      int          `json:"max"` // tokens that the caller allows
	Deadline int64        `json:"dl"`  // after the arrival
	Priority int          `json:"pri"`
}

// cost is the generated tokens that admission expects.
func (arr *Arrival) cost() float64 { return float64(arr.Max) }

// work is the size that the groups feel: a prompt token takes a small part of
// the time of a token that is generated.
func (arr *Arrival) work() float64 {
	return float64(arr.Prompt)*queue.WorkPerPromptToken + float64(arr.Max)
}

// used is the size in tokens that Result counts.
func (arr *Arrival) used() int { return arr.Prompt + arr.Output }

// Read reads arrivals, one JSON object a line. They must be in the order of
// their times.
func Read(src io.Reader) ([]Arrival, error) {
	var out []Arrival
	scn := bufio.NewScanner(src)
	for line := 1; scn.Scan(); line++ {
		var arr Arrival
		if err := json.Unmarshal(scn.Bytes(), &arr); err != nil {
			return nil, core.Errorf(core.CodeBadRequest, "arrival on line %d: %v", line, err)
		}
		if arr.Prompt <= 0 || arr.Output <= 0 || arr.Max < arr.Output || arr.Deadline <= 0 {
			return nil, core.Errorf(core.CodeBadRequest, "arrival on line %d is out of range", line)
		}
		if len(out) > 0 && arr.At < out[len(out)-1].At {
			return nil, core.Errorf(core.CodeBadRequest, "arrival on line %d is out of order", line)
		}
		out = append(out, arr)
	}
	return out, scn.Err()
}

// Write writes arrivals as Read reads them.
func Write(dst io.Writer, arrs []Arrival) error {
	enc := json.NewEncoder(dst)
	for idx := range arrs {
		if err := enc.Encode(&arrs[idx]); err != nil {
			return err
		}
	}
	return nil
}

// Scale returns the arrivals at a rate that is higher by the factor.
func Scale(arrs []Arrival, factor float64) []Arrival {
	out := slices.Clone(arrs)
	for idx := range out {
		out[idx].At = int64(float64(out[idx].At) / factor)
	}
	return out
}

// source is an organisation of Generate.
type source struct {
	name     core.OrgName
	part     float64 // of the arrivals
	bursts   bool
	prefixes int
	output   float64 // mean tokens
}

// The organisations of Generate: three large ones, two of which send in
// bursts, and seven small ones.
var sources = []source{
	{"huellas", 0.27, true, 4, 160},
	{"patitas", 0.22, false, 3, 120},
	{"rastro", 0.17, true, 3, 140},
	{"talara", 0.055, false, 2, 140},
	{"volos", 0.05, false, 1, 180},
	{"patras", 0.05, true, 2, 120},
	{"arequipa", 0.05, false, 2, 150},
	{"kavala", 0.047, false, 1, 100},
	{"cusco", 0.045, false, 2, 160},
	{"chania", 0.043, false, 1, 130},
}

// Arrivals of a source that bursts come this much faster for burstOn out of
// every burstCycle, and slower for the rest.
const (
	burstFactor = 2.0
	burstOn     = 12 * time.Second
	burstCycle  = 40 * time.Second
)

// Generate makes num arrivals at a mean rate per second.
func Generate(num int, rate float64, seed uint64) []Arrival {
	var out []Arrival
	span := time.Duration(float64(num) / rate * float64(time.Second))
	for idx, src := range sources {
		rnd := rand.New(rand.NewPCG(seed, uint64(idx)))
		for range int(math.Round(src.part * float64(num))) {
			out = append(out, src.arrival(idx, span, rnd))
		}
	}
	slices.SortStableFunc(out, func(one, two Arrival) int { return int(one.At - two.At) })
	return out
}

func (src source) arrival(idx int, span time.Duration, rnd *rand.Rand) Arrival {
	at := time.Duration(rnd.Int64N(int64(span)))
	if src.bursts {
		at = burst(at, time.Duration(idx)*7*time.Second)
	}
	prefix := rnd.IntN(src.prefixes)
	shared := 8 + (idx*5+prefix*7)%24
	output := min(400, 20+int(rnd.ExpFloat64()*(src.output-20)))
	allowed := output + output/4 + rnd.IntN(60)
	return Arrival{
		At:       at.Milliseconds(),
		Org:      src.name,
		Prefix:   uint64(idx*16 + prefix),
		Shared:   shared,
		Prompt:   shared*16 + 40 + rnd.IntN(400),
		Output:   output,
		Max:      allowed,
		Deadline: 3000 + int64(60*allowed),
		Priority: rnd.IntN(3),
	}
}

// burst moves an even time so that the first burstOn of each cycle has
// burstFactor times the mean rate.
func burst(at, offset time.Duration) time.Duration {
	cycle := at / burstCycle * burstCycle
	frac := float64(at%burstCycle) / float64(burstCycle)
	inBurst := burstFactor * burstOn.Seconds() / burstCycle.Seconds()
	var pos float64
	if frac < inBurst {
		pos = frac / inBurst * float64(burstOn)
	} else {
		rest := (frac - inBurst) / (1 - inBurst)
		pos = float64(burstOn) + rest*float64(burstCycle-burstOn)
	}
	pos = math.Mod(pos+float64(offset), float64(burstCycle))
	return cycle + time.Duration(pos)
}

// String tells the arrival's main sizes.
func (arr Arrival) String() string {
	return fmt.Sprintf("%d ms %s %d+%d", arr.At, arr.Org, arr.Prompt, arr.Output)
}
