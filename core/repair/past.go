package repair

import (
	"slices"
	"time"

	"kumquathinge/core"
)

const (
	maxAbsences = 64

	// observedWeight is the weight of an absence that was seen against one of
	// priorReturns.
	observedWeight = 3

	// defaultLoadTime stands for the time of a load until one was seen.
	defaultLoadTime = 2 * time.Minute

	// loadTimeSmoothing is the weight of the newest load in their running mean.
	loadTimeSmoothing = 0.3
)

// absenceRecord is one absence of a VM that ended. Intact states that the same
// process came back.
type absenceRecord struct {
	duration    time.Duration
	sameProcess bool
}

// priorAbsences are absences, in parts of Weights.ReturnWait, that stand for
// experience until there is some.
var priorAbsences = []struct {
	fraction    float64
	sameProcess bool
}{
	{0.1, true}, {0.25, true}, {0.5, true}, {1, true}, {1, true},
	{0.75, false}, {4, false}, {12, false},
}

// absenceHistory is what a Controller has learned of absences and loads.
type absenceHistory struct {
	absences        []absenceRecord
	next            int
	loadTimeByModel map[core.ModelName]time.Duration
}

func newAbsenceHistory() *absenceHistory {
	return &absenceHistory{loadTimeByModel: make(map[core.ModelName]time.Duration)}
}

func (hist *absenceHistory) recordAbsence(duration time.Duration, sameProcess bool) {
	absence := absenceRecord{duration: duration, sameProcess: sameProcess}
	if len(hist.absences) < maxAbsences {
		hist.absences = append(hist.absences, absence)
		return
	}
	hist.absences[hist.next] = absence
	hist.next = (hist.next + 1) % maxAbsences
}

func (hist *absenceHistory) recordLoadTime(model core.ModelName, loadTime time.Duration) {
	mean, ok := hist.loadTimeByModel[model]
	if !ok {
		hist.loadTimeByModel[model] = loadTime
		return
	}
	hist.loadTimeByModel[model] = mean + time.Duration(loadTimeSmoothing*float64(loadTime-mean))
}

// loadTime returns the expected time of one load of the model.
func (hist *absenceHistory) loadTime(model core.ModelName) time.Duration {
	loadTime, ok := hist.loadTimeByModel[model]
	if !ok {
		return defaultLoadTime
	}
	return loadTime
}

// absencesLongerThan returns the known absences, priors included, that last longer than
// gone, shortest first.
func (hist *absenceHistory) absencesLongerThan(minDuration, returnTimeout time.Duration) []absenceRecord {
	var out []absenceRecord
	for _, prior := range priorAbsences {
		out = append(out, absenceRecord{duration: time.Duration(prior.fraction * float64(returnTimeout)), sameProcess: prior.sameProcess})
	}
	for range observedWeight {
		out = append(out, hist.absences...)
	}
	out = slices.DeleteFunc(out, func(absence absenceRecord) bool { return absence.duration <= minDuration })
	slices.SortFunc(out, func(lhs, rhs absenceRecord) int { return int(lhs.duration - rhs.duration) })
	return out
}
