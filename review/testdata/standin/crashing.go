package main

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"kumquathinge/platform"
)

const (
	// crashInterval is the time after which the caller sends the crashing request again.
	crashInterval = 16 * time.Second
	crashCount    = 7
	crashPath     = "/calls/report/17"
	crashBody     = "the report that no server survives"
	// crashWork is how long a server runs the request before it crashes.
	crashWork = 20 * time.Millisecond
	// crashRestart is the time after which a crashed server is back.
	crashRestart = 3 * time.Second
	// maxLateRetries is how many of the requests may reach servers later than
	// stableWindowMs after the third crash.
	maxLateRetries = 3
	soundInterval  = 50 * time.Millisecond
)

// playCrashingRequest sends a request that crashes each server that begins to run it, again
// and again. Sound requests go on meanwhile.
func playCrashingRequest(rec *record, opt options) (bool, error) {
	dep, err := newDeployment(rec, "127.61.7", opt.program, 4)
	if err != nil {
		return false, err
	}
	defer dep.close(opt.keep)
	if err := dep.writeConfig(plainConfig, 100); err != nil {
		return false, err
	}
	crasher := &crashLog{rec: rec}
	respond := func(req *http.Request) answer {
		if req.URL.Path == crashPath && opt.trouble {
			return answer{work: crashWork, crash: true}
		}
		return answer{work: 30 * time.Millisecond}
	}
	for num, zone := range zones {
		srv, err := startServer(dep, num+1, zone, crashRestart, respond, crasher.arrived)
		if err != nil {
			return false, err
		}
		defer srv.close()
	}
	if err := dep.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var sound sync.WaitGroup
	counts := &soundCounts{}
	sound.Go(func() { sendSound(dep, stop, counts) })
	for num := range crashCount {
		attempt, nd := nextAttempt(), dep.nodes[num%len(dep.nodes)]
		crasher.sent(attempt)
		rec.printf("request %s (POST %s) sent to %s", attempt, crashPath, nd.name)
		status, _ := call(nd, http.MethodPost, crashPath, crashBody, attempt, time.Second)
		rec.printf("request %s answered %d", attempt, status)
		if num < crashCount-1 {
			time.Sleep(crashInterval)
		}
	}
	close(stop)
	sound.Wait()
	rec.printf("sound requests: %d sent, %d served, %d refused, %d that a server may have run got no answer of it", counts.sent, counts.served, counts.refused, counts.lost)
	return crasher.judge(opt.trouble), nil
}

// soundCounts counts the sound requests by their end.
type soundCounts struct {
	mu                          sync.Mutex
	sent, served, refused, lost int
	// calls are the sound requests for streams.
	calls []soundCall
}

// sendSound sends sound requests to the nodes in turn until stop is closed.
func sendSound(dep *deployment, stop chan struct{}, counts *soundCounts) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(soundInterval)
	defer ticker.Stop()
	for num := 0; ; num++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		nd, attempt := dep.nodes[num%len(dep.nodes)], nextAttempt()
		calls.Go(func() {
			status, _ := call(nd, http.MethodPost, "/calls/booking/"+attempt, "a booking", attempt, time.Second)
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.sent++
			switch status {
			case http.StatusOK:
				counts.served++
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				counts.refused++
			default:
				counts.lost++
				dep.rec.printf("sound request %s answered %d", attempt, status)
			}
		})
	}
}

// crashLog follows the crashing request.
type crashLog struct {
	rec     *record
	mu      sync.Mutex
	sentAt  map[string]time.Time
	reached []string
	// thirdAt is when the request crashed the third server.
	thirdAt time.Time
}

func (log *crashLog) sent(attempt string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.sentAt == nil {
		log.sentAt = map[string]time.Time{}
	}
	log.sentAt[attempt] = time.Now()
}

// arrived records a request at a server.
func (log *crashLog) arrived(srv *server, req *http.Request) {
	if !strings.HasPrefix(req.URL.Path, crashPath) {
		return
	}
	attempt := req.Header.Get(platform.HeaderAttemptID)
	log.rec.printf("request %s reaches server %s, which runs it", attempt, srv.id())
	log.mu.Lock()
	defer log.mu.Unlock()
	log.reached = append(log.reached, attempt)
	if len(log.reached) == maxLateRetries {
		log.thirdAt = time.Now().Add(crashWork)
	}
}

// judge reports whether the rule was broken.
func (log *crashLog) judge(trouble bool) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	if !trouble || log.thirdAt.IsZero() {
		log.rec.printf("the request reached servers %d times and crashed none, or fewer than three", len(log.reached))
		return false
	}
	late := 0
	for _, attempt := range log.reached {
		if log.sentAt[attempt].After(log.thirdAt.Add(touchTime)) {
			late++
		}
	}
	log.rec.printf("the request reached servers %d times, %d of them sent later than %v after the third crash; %d are allowed", len(log.reached), late, touchTime, maxLateRetries)
	return late > maxLateRetries
}
