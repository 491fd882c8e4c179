package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"kumquathinge/platform"
)

var attempts atomic.Int64

// nextAttempt returns a new id of a client attempt.
func nextAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// client sends requests to the nodes. Each request has a connection of its own, as the
// platform would spread them over the nodes.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call sends one request and returns the status, zero if there is no answer, and its body.
func call(nd *node, method, path, body, attempt string, deadline time.Duration) (int, string) {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+nd.addr()+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set(platform.HeaderAttemptID, attempt)
	req.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set(platform.HeaderAPIKey, apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}
