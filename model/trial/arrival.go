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

// Arrival is one recorded request. The first SharedBlocks blocks of the prompt
// belong to the system prompt with the number SystemPrompt, which other requests
// may share.
type Arrival struct {
	AtMillis       int64        `json:"at"`
	Org            core.OrgName `json:"org"`
	SystemPrompt   uint64       `json:"pre"`
	SharedBlocks   int          `json:"sh"`
	PromptTokens   int          `json:"in"`
	OutputTokens   int          `json:"out"`
	MaxTokens      int          `json:"max"` // limit on OutputTokens, set by the caller
	DeadlineMillis int64        `json:"dl"`  // from the arrival
	Priority       int          `json:"pri"`
}

// admissionTokens returns the output tokens that admission assumes.
func (arr *Arrival) admissionTokens() float64 { return float64(arr.MaxTokens) }

// work returns the expected load on a group in output tokens. A prompt token
// counts as queue.WorkPerPromptToken, since prefill is faster than decoding.
func (arr *Arrival) work() float64 {
	return float64(arr.PromptTokens)*queue.WorkPerPromptToken + float64(arr.MaxTokens)
}

// totalTokens returns the tokens that Result counts, prompt included.
func (arr *Arrival) totalTokens() int { return arr.PromptTokens + arr.OutputTokens }

// Read reads arrivals as JSON lines in ascending order of time. It returns an
// error with core.CodeBadRequest for an invalid or misplaced line.
func Read(src io.Reader) ([]Arrival, error) {
	var out []Arrival
	scanner := bufio.NewScanner(src)
	for line := 1; scanner.Scan(); line++ {
		var arr Arrival
		if err := json.Unmarshal(scanner.Bytes(), &arr); err != nil {
			return nil, core.Errorf(core.CodeBadRequest, "arrival on line %d: %v", line, err)
		}
		if arr.PromptTokens <= 0 || arr.OutputTokens <= 0 || arr.MaxTokens < arr.OutputTokens || arr.DeadlineMillis <= 0 {
			return nil, core.Errorf(core.CodeBadRequest, "arrival on line %d: value out of range", line)
		}
		if len(out) > 0 && arr.AtMillis < out[len(out)-1].AtMillis {
			return nil, core.Errorf(core.CodeBadRequest, "arrival on line %d: earlier than the line before", line)
		}
		out = append(out, arr)
	}
	return out, scanner.Err()
}

// Write writes arrivals as JSON lines, the format that Read accepts.
func Write(dst io.Writer, arrivals []Arrival) error {
	enc := json.NewEncoder(dst)
	for idx := range arrivals {
		if err := enc.Encode(&arrivals[idx]); err != nil {
			return err
		}
	}
	return nil
}

// Scale returns the arrivals with their rate multiplied by factor.
func Scale(arrivals []Arrival, factor float64) []Arrival {
	out := slices.Clone(arrivals)
	for idx := range out {
		out[idx].AtMillis = int64(float64(out[idx].AtMillis) / factor)
	}
	return out
}

// orgProfile describes the requests that Generate makes for an organisation.
type orgProfile struct {
	name          core.OrgName
	share         float64 // fraction of all arrivals
	bursty        bool
	systemPrompts int
	meanOutput    float64 // in tokens
}

// orgProfiles holds three large organisations, two of them bursty, and seven
// small ones.
var orgProfiles = []orgProfile{
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

// A bursty organisation sends at burstFactor times its mean rate for
// burstDuration of every burstPeriod, and more slowly for the rest.
const (
	burstFactor   = 2.0
	burstDuration = 12 * time.Second
	burstPeriod   = 40 * time.Second
)

// Generate returns about num random arrivals in ascending order of time, at a
// mean rate in requests per second.
func Generate(num int, rate float64, seed uint64) []Arrival {
	var out []Arrival
	span := time.Duration(float64(num) / rate * float64(time.Second))
	for idx, profile := range orgProfiles {
		rng := rand.New(rand.NewPCG(seed, uint64(idx)))
		for range int(math.Round(profile.share * float64(num))) {
			out = append(out, profile.newArrival(idx, span, rng))
		}
	}
	slices.SortStableFunc(out, func(one, two Arrival) int { return int(one.AtMillis - two.AtMillis) })
	return out
}

func (profile orgProfile) newArrival(idx int, span time.Duration, rng *rand.Rand) Arrival {
	at := time.Duration(rng.Int64N(int64(span)))
	if profile.bursty {
		at = shiftIntoBurst(at, time.Duration(idx)*7*time.Second)
	}
	prefix := rng.IntN(profile.systemPrompts)
	shared := 8 + (idx*5+prefix*7)%24
	output := min(400, 20+int(rng.ExpFloat64()*(profile.meanOutput-20)))
	allowed := output + output/4 + rng.IntN(60)
	return Arrival{
		AtMillis:       at.Milliseconds(),
		Org:            profile.name,
		SystemPrompt:   uint64(idx*16 + prefix),
		SharedBlocks:   shared,
		PromptTokens:   shared*16 + 40 + rng.IntN(400),
		OutputTokens:   output,
		MaxTokens:      allowed,
		DeadlineMillis: 3000 + int64(60*allowed),
		Priority:       rng.IntN(3),
	}
}

// shiftIntoBurst maps a uniformly distributed time to one such that each
// burstPeriod has a burstDuration with burstFactor times the mean rate. The
// bursts start at offset within the period.
func shiftIntoBurst(at, offset time.Duration) time.Duration {
	cycle := at / burstPeriod * burstPeriod
	frac := float64(at%burstPeriod) / float64(burstPeriod)
	burstShare := burstFactor * burstDuration.Seconds() / burstPeriod.Seconds()
	var pos float64
	if frac < burstShare {
		pos = frac / burstShare * float64(burstDuration)
	} else {
		rest := (frac - burstShare) / (1 - burstShare)
		pos = float64(burstDuration) + rest*float64(burstPeriod-burstDuration)
	}
	pos = math.Mod(pos+float64(offset), float64(burstPeriod))
	return cycle + time.Duration(pos)
}

// String returns the arrival's time, organisation, prompt and output tokens.
func (arr Arrival) String() string {
	return fmt.Sprintf("%d ms %s %d+%d", arr.AtMillis, arr.Org, arr.PromptTokens, arr.OutputTokens)
}
