//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// serverLimit is what each server names in its answers, in requests a second.
	serverLimit     = "1"
	serverLimitRate = 1.0
	// limitIdle is how long nobody calls.
	limitIdle = 34 * time.Second
	// limitBurst is the number of calls after it.
	limitBurst = 120
	// limitWindow is the window of the rule.
	limitWindow = 4 * time.Second
)

// playIdleLimit lets servers name a limit, and sends a burst after some time without calls.
func playIdleLimit(rec *record, opt options) (bool, error) {
	dep, err := newDeployment(rec, "127.61.8", opt.program, 4)
	if err != nil {
		return false, err
	}
	defer dep.close(opt.keep)
	err = dep.writeConfig(100, route{name: "calls", prefix: "/calls/", kind: "non_idempotent", timeout: 2 * time.Second, target: 150 * time.Millisecond, attempts: 1})
	if err != nil {
		return false, err
	}
	log := &limitLog{rec: rec, at: map[string][]time.Time{}}
	respond := func(*http.Request) answer {
		ans := answer{work: 30 * time.Millisecond}
		if opt.trouble {
			ans.header = map[string]string{"Server-Limit": serverLimit}
		}
		return ans
	}
	for num, zone := range zones {
		srv, err := startServer(dep, num+1, zone, crashRestart, respond, log.arrived)
		if err != nil {
			return false, err
		}
		defer srv.close()
	}
	if err := dep.start(); err != nil {
		return false, err
	}
	// Every node passes on answers that name the limit.
	sendBatch(dep, 40, 300*time.Millisecond)
	rec.printf("%d nodes know the limit; nobody calls for %v", len(dep.nodes), limitIdle)
	time.Sleep(limitIdle)
	sendBatch(dep, limitBurst, 10*time.Millisecond)
	time.Sleep(limitWindow)
	return log.judge(opt.trouble), nil
}

// sendBatch sends calls to the nodes in turn, one each interval.
func sendBatch(dep *deployment, num int, interval time.Duration) {
	var calls sync.WaitGroup
	for idx := range num {
		nd, attempt := dep.nodes[idx%len(dep.nodes)], nextAttempt()
		calls.Go(func() {
			status, _ := call(nd, http.MethodPost, "/calls/booking/"+attempt, "a booking", attempt, time.Second)
			dep.rec.printf("request %s at %s answered %d", attempt, nd.name, status)
		})
		time.Sleep(interval)
	}
	calls.Wait()
}

// limitLog holds when requests reached the servers.
type limitLog struct {
	rec *record
	mu  sync.Mutex
	at  map[string][]time.Time
}

func (log *limitLog) arrived(srv *server, req *http.Request) {
	log.rec.printf("request %s reaches server %s", req.Header.Get("Attempt-Id"), srv.id())
	log.mu.Lock()
	defer log.mu.Unlock()
	log.at[srv.id()] = append(log.at[srv.id()], time.Now())
}

// judge reports whether a server got more than it named in some window that begins
// stableWindowMs after it first named the limit, or later.
func (log *limitLog) judge(trouble bool) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	allowed := 1.5*serverLimitRate*limitWindow.Seconds() + 5
	broken := false
	for id, times := range log.at {
		from, most := times[0].Add(touchTime), 0
		for idx, begin := range times {
			if begin.Before(from) {
				continue
			}
			num := 0
			for _, at := range times[idx:] {
				if at.Sub(begin) < limitWindow {
					num++
				}
			}
			most = max(most, num)
		}
		log.rec.printf("server %s got up to %d requests in %v; %.0f are allowed by its limit of %s", id, most, limitWindow, allowed, serverLimit)
		broken = broken || trouble && float64(most) > allowed
	}
	return broken
}

// playOpen keeps a deployment running, for trials by hand.
func playOpen(rec *record, opt options) (bool, error) {
	dep, err := newDeployment(rec, "127.61.9", opt.program, 2)
	if err != nil {
		return false, err
	}
	defer dep.close(opt.keep)
	err = dep.writeConfig(100, route{name: "calls", prefix: "/calls/", kind: "non_idempotent", timeout: 2 * time.Second, target: 150 * time.Millisecond, attempts: 1},
		route{name: "reads", prefix: "/reads/", kind: "idempotent", timeout: 2 * time.Second, target: 150 * time.Millisecond, attempts: 2})
	if err != nil {
		return false, err
	}
	arrived := func(srv *server, req *http.Request) {
		rec.printf("%s got %s %s id=%s cl=%d te=%v hdr=%v", srv.id(), req.Method, req.RequestURI, req.Header.Get("Attempt-Id"), req.ContentLength, req.TransferEncoding, req.Header)
	}
	srv, err := startServer(dep, 1, "z1", crashRestart, func(*http.Request) answer { return answer{work: 5 * time.Millisecond} }, arrived)
	if err != nil {
		return false, err
	}
	defer srv.close()
	if err := dep.start(); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Second)
	return false, nil
}
