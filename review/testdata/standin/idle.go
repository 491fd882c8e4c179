package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"kumquathinge/platform"
)

const (
	// nodeFiles is the limit of descriptors of a process (maxFds).
	nodeFiles = 6150
	// userRate is the number of new users a second. Each sends one request and leaves its
	// connection open.
	userRate = 160
	userWork = 20 * time.Millisecond
	// keptClients send requests one after the other, each on a connection of its own.
	keptClients = 10
	keptWork    = 100 * time.Millisecond
	keptPath    = "/calls/kept/"
	keptKey     = "key-of-kept-clients"
	shortBody   = "call"
	// configAfter is when the configuration changes at the latest.
	configAfter = 55 * time.Second
	configApply = 2 * time.Second
	// watchTime is how long the requests are watched after the configuration must apply.
	watchTime = 6 * time.Second
	idlePlay  = 80 * time.Second
)

// playIdleUsers loses all machines but one, while users leave their connections open. Later
// a new configuration drops a key.
func playIdleUsers(rec *record, opt options) (bool, error) {
	dep, err := newDeployment(rec, "127.61.11", opt.program, 4)
	if err != nil {
		return false, err
	}
	defer dep.close(opt.keep)
	dep.keys = []string{apiKey, keptKey}
	if err := dep.writeConfig(plainConfig, 100); err != nil {
		return false, err
	}
	play := &idlePlayer{dep: dep, rec: rec, userBody: shortBody}
	respond := func(req *http.Request) answer {
		if strings.HasPrefix(req.URL.Path, keptPath) {
			return answer{work: keptWork}
		}
		return answer{work: userWork}
	}
	for num, zone := range zones {
		srv, err := startServer(dep, num+1, zone, crashRestart, respond, play.arrived)
		if err != nil {
			return false, err
		}
		defer srv.close()
	}
	if err := dep.start(); err != nil {
		return false, err
	}
	for _, nd := range dep.nodes {
		lim := unix.Rlimit{Cur: nodeFiles, Max: nodeFiles}
		if err := unix.Prlimit(nd.cmd.Process.Pid, unix.RLIMIT_NOFILE, &lim, nil); err != nil {
			return false, err
		}
	}
	return play.play(opt)
}

// play lets the clients come and changes the configuration.
func (play *idlePlayer) play(opt options) (bool, error) {
	dep, rec, survivor := play.dep, play.rec, play.dep.nodes[0]
	ctx, cancel := context.WithTimeout(context.Background(), idlePlay)
	defer cancel()
	play.live.Store(int64(len(dep.nodes)))
	play.refusedAt = make(chan struct{})
	var clients sync.WaitGroup
	for num := range keptClients {
		clients.Go(func() { play.keep(ctx, num, survivor) })
	}
	clients.Go(func() { play.users(ctx) })
	time.Sleep(2 * time.Second)
	if opt.trouble {
		play.live.Store(1)
		for _, nd := range dep.nodes[1:] {
			rec.printf("node %s loses power", nd.name)
			nd.kill()
		}
	}
	select {
	case <-play.refusedAt:
	case <-time.After(configAfter):
	}
	time.Sleep(touchTime)
	rec.printf("process of %s runs: %v; it answers that it is ready: %v; its peak memory: %s; users so far: %d", survivor.name, survivor.runs(), ready(survivor), survivor.peakMemory(), play.userCount.Load())
	dep.keys = []string{apiKey}
	if err := dep.writeConfig(plainConfig, 101); err != nil {
		return false, err
	}
	play.ackedAt.Store(time.Now().UnixNano())
	rec.printf("version 101, which drops the key of the kept clients, acknowledged")
	time.Sleep(configApply + watchTime)
	cancel()
	clients.Wait()
	play.closeUsers()
	rec.printf("process of %s runs: %v; users: %d, answered 200: %d, without a connection or an answer: %d", survivor.name, survivor.runs(), play.userCount.Load(), play.userServed.Load(), play.userFailures.Load())
	rec.printf("requests with the dropped key, sent later than %v after the acknowledgement: %d run by servers, %d refused with 401", configApply, play.stale.Load(), play.refused.Load())
	return play.stale.Load() > 0, nil
}

// idlePlayer are the clients.
type idlePlayer struct {
	dep *deployment
	rec *record
	// userHeader are further lines of the headers of users' requests, userBody are their
	// bodies.
	userHeader, userBody string
	// live is the number of nodes that the platform uses, ackedAt when the store acknowledged
	// the second configuration, in Unix nanoseconds.
	live, ackedAt                       atomic.Int64
	userCount, userServed, userFailures atomic.Int64
	// stale counts the requests with the dropped key that servers ran, refused those that
	// got 401.
	stale, refused atomic.Int64
	// refusedAt is closed when the survivor refuses a connection.
	refusedAt   chan struct{}
	refusedOnce sync.Once

	mu    sync.Mutex
	conns []net.Conn
}

func (play *idlePlayer) closeUsers() {
	play.mu.Lock()
	defer play.mu.Unlock()
	for _, conn := range play.conns {
		_ = conn.Close()
	}
}

// users lets new users come until ctx ends.
func (play *idlePlayer) users(ctx context.Context) {
	ticker := time.NewTicker(time.Second / userRate)
	defer ticker.Stop()
	for num := 0; ; num++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		nd := play.dep.nodes[num%int(play.live.Load())]
		go play.user(nd)
	}
}

// user opens a connection, sends a request and stays idle until the node closes.
func (play *idlePlayer) user(nd *node) {
	conn, err := net.DialTimeout("tcp", nd.addr(), time.Second)
	if err != nil {
		play.userFailures.Add(1)
		play.refusedOnce.Do(func() {
			play.rec.printf("a user gets no connection: %v", err)
			close(play.refusedAt)
		})
		return
	}
	play.userCount.Add(1)
	play.mu.Lock()
	play.conns = append(play.conns, conn)
	play.mu.Unlock()
	attempt := nextAttempt()
	status, _, err := exchange(conn, bufio.NewReader(conn), "/calls/user/"+attempt, attempt, apiKey, play.userHeader, play.userBody)
	if status == http.StatusOK {
		play.userServed.Add(1)
	} else if play.userFailures.Add(1) < 20 {
		play.rec.printf("user's request %s: status %d, %v", attempt, status, err)
	}
	// Waits for the node to close the idle connection.
	_ = conn.SetReadDeadline(time.Time{})
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
}

// late reports whether the second configuration must be in force.
func (play *idlePlayer) late() bool {
	acked := play.ackedAt.Load()
	return acked > 0 && time.Now().UnixNano() > acked+int64(configApply)
}

// arrived records the requests of kept clients that reach servers too late.
func (play *idlePlayer) arrived(srv *server, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, keptPath+"late/") && play.stale.Add(1) <= 10 {
		play.rec.printf("request %s with the dropped key runs at server %s", req.Header.Get(platform.HeaderAttemptID), srv.id())
	}
}

// keep sends requests on one connection.
func (play *idlePlayer) keep(ctx context.Context, num int, nd *node) {
	conn, err := net.DialTimeout("tcp", nd.addr(), time.Second)
	if err != nil {
		play.rec.printf("kept client %d gets no connection: %v", num, err)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		attempt, path := nextAttempt(), keptPath
		if play.late() {
			path += "late/"
		}
		status, closed, err := exchange(conn, reader, path+attempt, attempt, keptKey, "", shortBody)
		if play.late() && status == http.StatusUnauthorized {
			play.refused.Add(1)
		}
		if closed {
			play.rec.printf("kept client %d: its connection ends: %v", num, err)
			return
		}
		if status != http.StatusOK {
			time.Sleep(keptWork)
		}
	}
}

// exchange sends a request on a connection and reads its answer. more are further lines of its
// header.
func exchange(conn net.Conn, reader *bufio.Reader, path, attempt, key, more, body string) (status int, closed bool, err error) {
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1000\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", path, host, platform.HeaderAttemptID, attempt, platform.HeaderDeadline, platform.HeaderAPIKey, key, len(body), more, body)
	if err != nil {
		return 0, true, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close || err != nil, err
}
