package crash

import (
	"time"

	"kumquathinge/core"
)

// successes holds the last successes of parts in two generations. The older one
// is dropped when the newer one is full, which limits the size.
type successes struct {
	limit        int
	newer, older map[core.PromptPart]time.Time
}

func newSuccesses(limit int) successes {
	return successes{limit: limit, newer: map[core.PromptPart]time.Time{}}
}

// record records a success of the part, unless a later one is known.
func (suc *successes) record(part core.PromptPart, at time.Time) {
	if !at.After(suc.last(part)) {
		return
	}
	if len(suc.newer) >= suc.limit/2 {
		suc.newer, suc.older = make(map[core.PromptPart]time.Time, len(suc.newer)), suc.newer
	}
	suc.newer[part] = at
}

// last returns the time of the last success of the part, zero if none is known.
func (suc *successes) last(part core.PromptPart) time.Time {
	if at, ok := suc.newer[part]; ok {
		return at
	}
	return suc.older[part]
}
