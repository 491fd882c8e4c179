package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// serverRequest is a request that a backend server received.
type serverRequest struct {
	srv *server
	platfk.ReceivedRequest
}

// check verifies what clients and backend servers recorded, and returns the
// violations. planned is set if the run had planned maintenance only.
func (dep *deployment) check(planned bool) []string {
	var out []string
	addf := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	requestsByID := map[string][]serverRequest{}
	serverByID := map[string]*server{}
	for _, srv := range dep.allServers() {
		serverByID[srv.ID()] = srv
		for _, received := range srv.Requests() {
			requestsByID[received.AttemptID] = append(requestsByID[received.AttemptID], serverRequest{srv: srv, ReceivedRequest: received})
		}
	}
	sentIDs := map[string]bool{}
	dep.versionChecks.Wait()
	for _, call := range dep.calls.all() {
		sentIDs[call.id] = true
		dep.checkResponse(call, addf)
		checkExecutions(call, requestsByID[call.id], addf)
	}
	dep.checkEvacuations(requestsByID, addf)
	if planned && dep.options.Profile == nil {
		dep.checkComplete(addf)
	}
	losses, excuses := dep.judgeLosses(planned, requestsByID, serverByID)
	out = append(out, losses...)
	dep.excuses = excuses
	out = append(out, dep.judgeUrgency()...)
	dep.mu.Lock()
	out = append(out, dep.groupViolations...)
	dep.mu.Unlock()
	for id, reqs := range requestsByID {
		if !sentIDs[id] {
			addf("server %s received request %q, which no client sent", reqs[0].srv.ID(), id)
		}
		for _, req := range reqs {
			checkServerRequest(req, serverByID, addf)
			if planned && !req.srv.drainAckedAt.IsZero() && req.ReceivedAt.Sub(req.srv.drainAckedAt) > maxDrainDelay {
				addf("server %s received request %s %v after its drain was acknowledged", req.srv.ID(), id, req.ReceivedAt.Sub(req.srv.drainAckedAt))
			}
		}
	}
	dep.checkCold(addf)
	for _, node := range dep.nodes {
		_, violations := node.logAndViolations()
		out = append(out, violations...)
	}
	return out
}

// checkComplete checks that each request on an accepted connection has a complete
// response, unless its client cancelled it.
func (dep *deployment) checkComplete(addf func(string, ...any)) {
	for _, call := range dep.calls.all() {
		if !call.cancelled && call.connected && (call.err != nil || !call.complete) {
			addf("request lost during planned maintenance: %v", call)
		}
	}
}

// maxDrainDelay is the time within which a server must stop receiving new requests
// after its drain was acknowledged.
const maxDrainDelay = 2 * time.Second

// completeBody returns the body of a complete response to the call.
func completeBody(call *callRecord) string {
	if call.route.Kind != "stream" {
		return "answer to " + call.id
	}
	var sb strings.Builder
	for num := call.after + 1; num <= call.work.events; num++ {
		sb.WriteString(platfk.Event(num))
	}
	return sb.String()
}

// checkResponse checks that the field names of a response are valid, and that a 2xx response
// comes from a backend server and holds the bytes of its response to this call, all of them
// if it ended without an error.
func (dep *deployment) checkResponse(call *callRecord, addf func(string, ...any)) {
	if call.invalidField != "" {
		addf("response with the invalid field name %q: %v", call.invalidField, call)
	}
	if call.status/100 != 2 {
		return
	}
	want := completeBody(call)
	switch {
	case call.responseStamp == "":
		addf("2xx response without a response stamp: %v", call)
	case call.complete && call.body != want:
		addf("response ended without an error but its body differs: %v: %q", call, call.body)
	case !strings.HasPrefix(want, call.body):
		addf("partial response is no prefix of the expected body: %v: %q", call, call.body)
	}
}

// executed returns the requests that executed.
func executed(reqs []serverRequest) []serverRequest {
	var out []serverRequest
	for _, req := range reqs {
		if req.Executed {
			out = append(out, req)
		}
	}
	return out
}

// checkExecutions checks that a request did not execute more often than allowed,
// and that one which a node rejected did not execute at all. reqs are all server requests
// with the ID of the call.
func checkExecutions(call *callRecord, reqs []serverRequest, addf func(string, ...any)) {
	executions := len(executed(reqs))
	switch {
	case call.next != nil:
	case !call.route.mayRepeat() && executions > 1:
		addf("request that must not be repeated executed %d times: %v", executions, call)
	case executions > call.route.Attempts:
		addf("request executed %d times with at most %d attempts: %v", executions, call.route.Attempts, call)
	}
	switch call.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if own := executed(call.own(reqs)); len(own) > 0 && call.responseStamp == "" {
			addf("request was rejected but executed at %s: %v", own[0].srv.ID(), call)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		addf("unexpected authorization or routing failure: %v", call)
	}
}

// checkServerRequest checks the headers and body of an executed request and, for
// an engine, that its group was complete and each member had joined it.
func checkServerRequest(req serverRequest, serverByID map[string]*server, addf func(string, ...any)) {
	if !req.Executed {
		return
	}
	switch {
	case req.Header.Get(platform.HeaderTenant) != orgID || req.Header.Get(platform.HeaderAPIKey) != "":
		addf("server %s received request %s with tenant %q and API key %q", req.srv.ID(), req.AttemptID, req.Header.Get(platform.HeaderTenant), req.Header.Get(platform.HeaderAPIKey))
	case strings.TrimRight(req.Body, "x") != "body of "+req.AttemptID:
		addf("server %s received request %s with a body of %d bytes: %.80q", req.srv.ID(), req.AttemptID, len(req.Body), req.Body)
	}
	if req.srv.domain == "" {
		return
	}
	if len(req.Members) != groupSize {
		addf("request %s executed in group %s of %d members", req.AttemptID, req.Group, len(req.Members))
	}
	for _, id := range req.Members {
		if member := serverByID[id]; member == nil || !member.Joined(req.Group) {
			addf("request %s executed in group %s, which %s never joined", req.AttemptID, req.Group, id)
		}
	}
}
