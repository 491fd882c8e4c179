package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// arrival is a request at a server.
type arrival struct {
	srv *server
	platfk.ReceivedRequest
}

// check judges what callers and servers saw. Planned tells that there was
// planned work only.
func (wld *world) check(planned bool) []string {
	var out []string
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	byID := map[string][]arrival{}
	byServer := map[string]*server{}
	for _, srv := range wld.all() {
		byServer[srv.ID()] = srv
		for _, one := range srv.Requests() {
			byID[one.AttemptID] = append(byID[one.AttemptID], arrival{srv: srv, ReceivedRequest: one})
		}
	}
	known := map[string]bool{}
	wld.later.Wait()
	for _, cal := range wld.rec.all() {
		known[cal.id] = true
		wld.checkAnswer(cal, say)
		checkRuns(cal, byID[cal.id], say)
		if planned && !cal.left && cal.connected && (cal.err != nil || !cal.whole) {
			say("lost in planned work: %v", cal)
		}
	}
	for id, arrs := range byID {
		if !known[id] {
			say("server %s got a request %q that no caller sent", arrs[0].srv.ID(), id)
		}
		for _, arr := range arrs {
			checkArrival(arr, byServer, say)
			if planned && !arr.srv.drained.IsZero() && arr.ReceivedAt.Sub(arr.srv.drained) > drainBound {
				say("server %s got request %s %v after its leaving was acknowledged", arr.srv.ID(), id, arr.ReceivedAt.Sub(arr.srv.drained))
			}
		}
	}
	for _, nod := range wld.nodes {
		_, flts := nod.text()
		out = append(out, flts...)
	}
	return out
}

// drainBound is the time after which a server that leaves gets nothing new.
const drainBound = 2 * time.Second

// whole returns the body of a whole answer to a call.
func whole(cal *call) string {
	if cal.kind != "stream" {
		return "answer to " + cal.id
	}
	var bld strings.Builder
	for num := 1; num <= events; num++ {
		bld.WriteString(platfk.Event(num))
	}
	return bld.String()
}

// checkAnswer checks that a success is a server's whole answer to the call.
func (wld *world) checkAnswer(cal *call, say func(string, ...any)) {
	if cal.status/100 != 2 {
		return
	}
	want := whole(cal)
	switch {
	case cal.signed == "":
		say("success without a server's signature: %v", cal)
	case cal.whole && cal.body != want:
		say("answer looks complete and is not: %v: %q", cal, cal.body)
	case !strings.HasPrefix(want, cal.body):
		say("answer holds other bytes: %v: %q", cal, cal.body)
	}
}

// checkRuns checks how often a request ran and that a refusal is true.
func checkRuns(cal *call, arrs []arrival, say func(string, ...any)) {
	ran := 0
	for _, arr := range arrs {
		if arr.Executed {
			ran++
		}
	}
	switch {
	case cal.kind == "charge" && ran > 1:
		say("ran %d times: %v", ran, cal)
	case ran > attempts:
		say("ran %d times with %d attempts: %v", ran, attempts, cal)
	}
	switch cal.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if ran > 0 && cal.signed == "" {
			say("refused, but ran at %s: %v", arrs[0].srv.ID(), cal)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		say("denied: %v", cal)
	}
}

// checkArrival checks a request at a server.
func checkArrival(arr arrival, byServer map[string]*server, say func(string, ...any)) {
	if !arr.Executed {
		return
	}
	switch {
	case arr.Header.Get(platform.HeaderTenant) != org || arr.Header.Get(platform.HeaderAPIKey) != "":
		say("server %s got request %s of %q with key %q", arr.srv.ID(), arr.AttemptID, arr.Header.Get(platform.HeaderTenant), arr.Header.Get(platform.HeaderAPIKey))
	case arr.Body != "body of "+arr.AttemptID:
		say("server %s got request %s with body %q", arr.srv.ID(), arr.AttemptID, arr.Body)
	}
	if arr.srv.domain == "" {
		return
	}
	if len(arr.Members) != groupSize {
		say("request %s ran in group %s of %d members", arr.AttemptID, arr.Group, len(arr.Members))
	}
	for _, id := range arr.Members {
		if mem := byServer[id]; mem == nil || !mem.Joined(arr.Group) {
			say("request %s ran in group %s, which %s never joined", arr.AttemptID, arr.Group, id)
		}
	}
}
