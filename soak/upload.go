package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"kumquathinge/platform"
)

const (
	// uploadsPerNode is the number of clients that send a large body to each node in a
	// burst.
	uploadsPerNode = 60
	// A client sends a large body in chunks of uploadChunk bytes, one each uploadPause.
	uploadChunk = 1 << 17
	uploadPause = 30 * time.Millisecond
	// uploadTimeout is the time within which an upload must have ended.
	uploadTimeout = 10 * time.Second
	// memoryCheckInterval is the interval between two checks of the memory that the
	// nodes use.
	memoryCheckInterval = 20 * time.Millisecond
)

// injectUploads lets clients send large bodies to all nodes at the same time. The
// returned function waits until they have ended.
func (dep *deployment) injectUploads() func() {
	var wg sync.WaitGroup
	var routes []RouteProfile
	for _, rt := range dep.profile.Routes {
		if rt.Kind != "stream" {
			routes = append(routes, rt)
		}
	}
	for _, node := range dep.nodes {
		for num := range uploadsPerNode {
			wg.Go(func() {
				call := newCall(routes[num%len(routes)], work{interval: time.Millisecond}, false)
				dep.upload(node, call)
				dep.calls.add(call)
			})
		}
	}
	return wg.Wait
}

// upload sends a request with a large body slowly on a new connection.
func (dep *deployment) upload(node *Node, call *callRecord) {
	call.node, call.sentAt = node, time.Now()
	time.Sleep(rand.N(uploadPause))
	call.err = dep.uploadOn(node, call)
	call.endedAt = time.Now()
}

func (dep *deployment) uploadOn(node *Node, call *callRecord) error {
	conn, err := net.Dial("tcp", node.settings.CallerAddr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	call.connected = true
	err = conn.SetDeadline(time.Now().Add(uploadTimeout))
	if err != nil {
		return err
	}
	size := dep.profile.UploadSize
	body := "body of " + call.id
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		call.kind, requestHost, platform.HeaderAttemptID, call.id, platform.HeaderAPIKey, apiKey, platform.HeaderDeadline, uploadTimeout.Milliseconds(), size, body)
	chunk := strings.Repeat("x", uploadChunk)
	for sent := len(body); sent < size && err == nil; sent += uploadChunk {
		_, err = io.WriteString(conn, chunk[:min(uploadChunk, size-sent)])
		time.Sleep(uploadPause)
	}
	// A node may answer before it has read the whole body.
	resp, readErr := http.ReadResponse(bufio.NewReader(conn), nil)
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	raw, readErr := io.ReadAll(resp.Body)
	readErr = errors.Join(readErr, resp.Body.Close())
	call.sentAt = time.Now()
	call.status, call.responseStamp, call.body, call.complete = resp.StatusCode, resp.Header.Get(platform.HeaderResponseStamp), string(raw), readErr == nil
	return readErr
}

// watchMemory kills the process of a node that uses more memory than its settings
// give it, until done closes.
func (dep *deployment) watchMemory(done <-chan struct{}) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		for _, node := range dep.nodes {
			node.checkMemory()
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// checkMemory kills the process if it uses more memory than its settings give it.
func (node *Node) checkMemory() {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.cmd == nil || node.closed {
		return
	}
	used, err := residentBytes(node.cmd.Process.Pid)
	if err != nil {
		return
	}
	node.peakMemory = max(node.peakMemory, used)
	if used <= node.settings.MemoryBytes || len(node.stopSignals) > 0 {
		return
	}
	node.violations = append(node.violations, fmt.Sprintf("process of %s used %d MB of %d", node.settings.Node, used>>20, node.settings.MemoryBytes>>20))
	node.stopSignals = append(node.stopSignals, syscall.SIGKILL)
	node.disruptions = append(node.disruptions, Period{From: time.Now()})
	// The error is ignored: a process that has just exited needs no signal.
	_ = node.cmd.Process.Kill()
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("memory of process %d: %q", pid, raw)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
