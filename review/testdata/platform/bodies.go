package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes and times of the case bodies.
const (
	// bodySize is maxBodyBytes of the configuration.
	bodySize = 4194304
	// A client sends its body in chunks of bodyChunk, one each bodyPause: 4 MB in
	// about 3 s.
	bodyChunk = 1 << 17
	bodyPause = 90 * time.Millisecond
	// usualClients and burstClients are the clients of each node, usually and in
	// a burst: 1.69 times as many.
	usualClients = 55
	burstClients = 93
	bursts       = 5
	burstGap     = 4500 * time.Millisecond
	calmTime     = 5 * time.Second
	// minEnds is the number of times that a process must end on each node.
	minEnds = 3
)

// uploads sends large bodies slowly at a steady rate, with bursts of more clients.
// Processes that exceed the memory of their machine are killed, as the platform does.
func uploads(bd *bed) (bool, []string, error) {
	routes := []routeDoc{{
		Name: "bookings", Host: hostName, PathPrefix: "/puxa403/", Kind: "non_idempotent", TimeoutMs: 1000, TargetLatency: 150, Priority: 2, Service: plainService, MaxAttempts: 1,
	}}
	if err := bd.writeConfig(routes); err != nil {
		return false, nil, err
	}
	serve := func(_ *server, rw http.ResponseWriter, _ *http.Request, body []byte) {
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(rw, "booked %d bytes", len(body))
	}
	for range 3 {
		if err := bd.addServer(&server{service: plainService, slots: 6, serve: serve}); err != nil {
			return false, nil, err
		}
	}
	if err := bd.addNodes(2); err != nil {
		return false, nil, err
	}
	time.Sleep(2 * time.Second)
	var done atomic.Bool
	var watchers, clients sync.WaitGroup
	peaks := make([]atomic.Int64, len(bd.nodes))
	for idx, nd := range bd.nodes {
		watchers.Go(func() { bd.limitMemory(nd, &peaks[idx], &done) })
		for num := range usualClients {
			clients.Go(func() {
				time.Sleep(time.Duration(num) * 3 * time.Second / usualClients)
				for !done.Load() {
					bd.upload(nd)
				}
			})
		}
	}
	time.Sleep(calmTime)
	for num := range bursts {
		if bd.trouble {
			bd.jr.addf("burst %d: %d clients in place of %d at each node", num+1, burstClients, usualClients)
			for _, nd := range bd.nodes {
				for range burstClients - usualClients {
					clients.Go(func() { bd.upload(nd) })
				}
			}
		}
		time.Sleep(burstGap)
	}
	done.Store(true)
	clients.Wait()
	watchers.Wait()
	broken := true
	var verdict []string
	for idx, nd := range bd.nodes {
		nd.mu.Lock()
		verdict = append(verdict, fmt.Sprintf("%s: %d MB at most of %d; ended %d times over it, %d times otherwise", nd.name, peaks[idx].Load(), nd.memoryMB, nd.memoryKills, nd.ends))
		broken = broken && nd.memoryKills+nd.ends >= minEnds
		nd.mu.Unlock()
	}
	return broken, verdict, nil
}

// limitMemory kills the process of a node whenever it exceeds the machine's memory.
func (bd *bed) limitMemory(nd *node, peak *atomic.Int64, done *atomic.Bool) {
	for !done.Load() {
		time.Sleep(20 * time.Millisecond)
		nd.mu.Lock()
		used := residentMB(nd.cmd.Process.Pid)
		over := used > int64(nd.memoryMB) && !nd.signalled
		if over {
			nd.memoryKills++
			nd.signalled = true
			_ = nd.cmd.Process.Signal(syscall.SIGKILL)
		}
		nd.mu.Unlock()
		peak.Store(max(peak.Load(), used))
		if over {
			bd.jr.addf("%s uses %d MB and is killed", nd.name, used)
		}
	}
}

// residentMB returns the resident memory of a process that this program started, zero
// if it has ended.
func residentMB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}

// upload sends one request with a large body on a new connection.
func (bd *bed) upload(nd *node) {
	cl, err := dialNode(nd)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer cl.close()
	id := newID()
	bd.jr.addf("sent %s to %s POST /puxa403/x %d bytes", id, nd.name, bodySize)
	_ = cl.conn.SetDeadline(time.Now().Add(12 * time.Second))
	_, err = fmt.Fprintf(cl.conn, "POST /puxa403/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n", hostName, id, apiKey, bodySize)
	chunk := make([]byte, bodyChunk)
	for sent := 0; sent < bodySize && err == nil; sent += bodyChunk {
		_, err = cl.conn.Write(chunk)
		time.Sleep(bodyPause)
	}
	if err != nil {
		bd.jr.addf("answer %s from %s: none, the connection broke: %v", id, nd.name, err)
		return
	}
	resp, err := http.ReadResponse(cl.reader, nil)
	if err != nil {
		bd.jr.addf("answer %s from %s: none: %v", id, nd.name, err)
		return
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	bd.jr.addf("answer %s from %s: status %d %q error %v", id, nd.name, resp.StatusCode, raw, err)
}
