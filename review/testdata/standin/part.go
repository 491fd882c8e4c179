package main

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"kumquathinge/platform"
)

const (
	partInterval = 2 * time.Second
	partCount    = 16
	deadlyPart   = "dead0b5f"
	sharedPart   = "5c1e07a2"
	streamPath   = "/drafts/card"
	streamEvents = 20
	eventPause   = 40 * time.Millisecond
	// partCrashes is the number of crashes after which the requests have to be kept away.
	partCrashes = 5
	// maxLateParts is how many may reach servers later than stableWindowMs after them.
	maxLateParts = 3
)

// callStream sends one request for a stream and returns the status and the number of events
// of its answer. whole is set if the answer ended as complete.
func callStream(nd *node, attempt, prefix string) (status, events int, whole bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+nd.addr()+streamPath, strings.NewReader("prompt of "+attempt))
	if err != nil {
		return 0, 0, false
	}
	req.Host = host
	for name, val := range map[string]string{
		platform.HeaderAttemptID: attempt, platform.HeaderDeadline: "6000", platform.HeaderAPIKey: apiKey, platform.HeaderModel: modelName,
		platform.HeaderTokenCounts: "700,120", platform.HeaderPromptParts: prefix,
	} {
		req.Header.Set(name, val)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return resp.StatusCode, events, lines.Err() == nil
}

// playCrashingPart sends requests with a part of a prompt on which servers crash once they
// have written the first event of the answer.
func playCrashingPart(rec *record, opt options) (bool, error) {
	return playDeadlyPart(rec, opt, deadlyPlay{subnet: "127.61.10", common: []string{sharedPart + ":40"}, events: opt.events})
}

// playLatePart sends requests with a part on which servers crash before the first event. It
// comes late in the prompt, which is a long conversation.
func playLatePart(rec *record, opt options) (bool, error) {
	var common []string
	for num := range opt.turns {
		common = append(common, fmt.Sprintf("7a%06x:20", num))
	}
	return playDeadlyPart(rec, opt, deadlyPlay{subnet: "127.61.12", common: common})
}

// deadlyPlay is what the requests with the deadly part are like. common are the parts that
// they share with sound requests, events is the number of events before a crash.
type deadlyPlay struct {
	subnet string
	common []string
	events int
}

// prefix returns the parts of a request's prompt.
func (dpl deadlyPlay) prefix(attempt string, deadly bool) string {
	parts := slices.Clone(dpl.common)
	if deadly {
		parts = append(parts, deadlyPart+":60")
	}
	return strings.Join(append(parts, attempt[8:]+":600"), ",")
}

// playDeadlyPart sends requests with the deadly part beside sound ones.
func playDeadlyPart(rec *record, opt options, dpl deadlyPlay) (bool, error) {
	dep, err := newDeployment(rec, dpl.subnet, opt.program, 4)
	if err != nil {
		return false, err
	}
	defer dep.close(opt.keep)
	if err := dep.writeConfig(modelConfig, 100); err != nil {
		return false, err
	}
	log := &partLog{rec: rec, sentAt: map[string]time.Time{}}
	respond := func(req *http.Request) plan {
		what := plan{events: streamEvents, pause: eventPause, crashAfter: -1}
		if opt.trouble && strings.Contains(req.Header.Get(platform.HeaderPromptParts), deadlyPart) {
			what.crashAfter, what.crashDelay = dpl.events, 60*time.Millisecond
		}
		return what
	}
	flt, err := startFleet(dep, 2, 6, 3*time.Second, respond, log.arrived)
	if err != nil {
		return false, err
	}
	defer flt.close()
	if err := dep.start(); err != nil {
		return false, err
	}
	for begin := time.Now(); flt.serving() < 4; time.Sleep(100 * time.Millisecond) {
		if time.Since(begin) > 30*time.Second {
			return false, fmt.Errorf("only %d groups serve", flt.serving())
		}
	}
	rec.printf("%d groups serve", flt.serving())
	stop := make(chan struct{})
	counts := &soundCounts{}
	var sound sync.WaitGroup
	sound.Go(func() { sendSoundStreams(dep, stop, counts, dpl) })
	time.Sleep(calmTime)
	var calls sync.WaitGroup
	for num := range partCount {
		nd, attempt := dep.nodes[num%len(dep.nodes)], nextAttempt()
		log.sent(attempt)
		rec.printf("request %s with part %s sent to %s", attempt, deadlyPart, nd.name)
		calls.Go(func() {
			status, events, whole := callStream(nd, attempt, dpl.prefix(attempt, true))
			rec.printf("request %s answered %d with %d events, complete: %v", attempt, status, events, whole)
		})
		time.Sleep(partInterval)
	}
	calls.Wait()
	close(stop)
	sound.Wait()
	rec.printf("sound requests: %d sent, %d served whole, %d refused, %d broken off or failed", counts.sent, counts.served, counts.refused, counts.lost)
	late, refused := log.judge(opt.trouble), log.judgeSound(counts)
	return late || refused, nil
}

// calmTime is the time with sound requests only.
const calmTime = 4 * time.Second

// soundCall is a sound request and whether it began to run.
type soundCall struct {
	sentAt time.Time
	begun  bool
}

// judgeSound reports whether sound requests began less than half as often as before, from
// 2 x stableWindowMs after the fifth crash, or the last if there are fewer, while requests
// with the part come (LOST).
func (log *partLog) judgeSound(counts *soundCounts) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	from := log.fifthAt
	if from.IsZero() {
		from = log.lastAt
	}
	if from.IsZero() {
		from = log.firstSent
	}
	from = from.Add(2 * touchTime)
	var before, after [2]int
	for _, snd := range counts.calls {
		set := &after
		switch {
		case snd.sentAt.Before(log.firstSent):
			set = &before
		case snd.sentAt.Before(from) || snd.sentAt.After(log.lastSent):
			continue
		}
		set[0]++
		if snd.begun {
			set[1]++
		}
	}
	log.rec.printf("sound requests before: %d of %d began; from 6 s after the fifth crash while such requests come: %d of %d began; half as often is the least (LOST)", before[1], before[0], after[1], after[0])
	return before[0] >= 20 && after[0] >= 20 && 2*after[1]*before[0] < after[0]*before[1]
}

// sendSoundStreams sends sound requests that share the first part until stop is closed.
func sendSoundStreams(dep *deployment, stop chan struct{}, counts *soundCounts, dpl deadlyPlay) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for num := 0; ; num++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		nd, attempt, sentAt := dep.nodes[num%len(dep.nodes)], nextAttempt(), time.Now()
		calls.Go(func() {
			status, events, whole := callStream(nd, attempt, dpl.prefix(attempt, false))
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.sent++
			counts.calls = append(counts.calls, soundCall{sentAt: sentAt, begun: events > 0})
			switch {
			case status == http.StatusOK && whole && events == streamEvents:
				counts.served++
			case status == http.StatusServiceUnavailable:
				counts.refused++
			default:
				counts.lost++
				dep.rec.printf("sound request %s: status %d, %d events, complete: %v", attempt, status, events, whole)
			}
		})
	}
}

// partLog follows the requests with the part.
type partLog struct {
	rec     *record
	mu      sync.Mutex
	sentAt  map[string]time.Time
	reached []string
	// fifthAt is when the fifth server crashed, lastAt when the last one did.
	fifthAt, lastAt time.Time
	// firstSent and lastSent are when the first and the last request were sent.
	firstSent, lastSent time.Time
}

func (log *partLog) sent(attempt string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	now := time.Now()
	log.sentAt[attempt], log.lastSent = now, now
	if log.firstSent.IsZero() {
		log.firstSent = now
	}
}

func (log *partLog) arrived(eng *engine, req *http.Request) {
	if !strings.Contains(req.Header.Get(platform.HeaderPromptParts), deadlyPart) {
		return
	}
	attempt := req.Header.Get(platform.HeaderAttemptID)
	log.rec.printf("request %s with the part reaches model server %s, which runs it", attempt, eng.id())
	log.mu.Lock()
	defer log.mu.Unlock()
	log.reached = append(log.reached, attempt)
	log.lastAt = time.Now().Add(eventPause + 60*time.Millisecond)
	if len(log.reached) == partCrashes {
		log.fifthAt = log.lastAt
	}
}

// judge reports whether too many requests with the part reached servers after the fifth crash
// (BUDGET).
func (log *partLog) judge(trouble bool) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	if !trouble || log.fifthAt.IsZero() {
		log.rec.printf("requests with the part reached servers %d times and crashed none, or fewer than five", len(log.reached))
		return false
	}
	late := map[string]bool{}
	for _, attempt := range log.reached {
		if log.sentAt[attempt].After(log.fifthAt.Add(touchTime)) {
			late[attempt] = true
		}
	}
	log.rec.printf("requests with the part reached servers %d times; %d requests sent later than %v after the fifth crash reached servers, %d are allowed (BUDGET)", len(log.reached), len(late), touchTime, maxLateParts)
	return len(late) > maxLateParts
}
