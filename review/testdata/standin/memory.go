package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"kumquathinge/platform"
)

const (
	// nodeMemory is the memory of a machine (memoryMb).
	nodeMemory = 414 << 20
	// longHeader is the size of the header line that makes users' headers long. They stay
	// below maxHeaderBytes.
	longHeader = 15900
	// longBody is the size of the bodies of users' requests.
	longBody = 16000
	// memoryCheck is the interval at which the platform checks the memory of a process.
	memoryCheck = 20 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// afterKill is how long the case goes on after a process was killed.
	afterKill  = 5 * time.Second
	memoryPlay = 70 * time.Second
	// maxLostKept is the number of requests of kept connections that may be lost.
	maxLostKept = 3
)

// memoryPlayer are the clients, and the platform that kills processes.
type memoryPlayer struct {
	idlePlayer
	mu     sync.Mutex
	ran    map[string]bool
	lost   []string
	kills  int
	killed chan struct{}
}

// playLongHeaders loses all machines but one, while users with long headers leave their
// connections open. The platform kills a process that exceeds the memory of its machine.
func playLongHeaders(rec *record, opt options) (bool, error) {
	dep, err := newDeployment(rec, "127.61.13", opt.program, 4)
	if err != nil {
		return false, err
	}
	defer dep.close(opt.keep)
	dep.keys = []string{apiKey, keptKey}
	if err := dep.writeConfig(plainConfig, 100); err != nil {
		return false, err
	}
	play := &memoryPlayer{ran: map[string]bool{}, killed: make(chan struct{})}
	play.dep, play.rec, play.refusedAt = dep, rec, make(chan struct{})
	play.userHeader = "Session: " + strings.Repeat("0123456789abcdef", longHeader/16) + "\r\n"
	play.userBody = strings.Repeat("x", longBody)
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

// play lets the clients come until some time after a process was killed.
func (play *memoryPlayer) play(opt options) (bool, error) {
	rec, survivor := play.rec, play.dep.nodes[0]
	ctx, cancel := context.WithTimeout(context.Background(), memoryPlay)
	defer cancel()
	play.live.Store(int64(len(play.dep.nodes)))
	var clients, platform sync.WaitGroup
	watched := play.dep.nodes
	if opt.trouble {
		watched = watched[:1]
	}
	for _, nd := range watched {
		platform.Go(func() { play.watchMemory(ctx, nd) })
	}
	for num := range keptClients {
		clients.Go(func() { play.keep(ctx, num, survivor) })
	}
	clients.Go(func() { play.users(ctx) })
	time.Sleep(2 * time.Second)
	if opt.trouble {
		play.live.Store(1)
		for _, nd := range play.dep.nodes[1:] {
			rec.printf("node %s loses power", nd.name)
			nd.kill()
		}
	}
	select {
	case <-play.killed:
		time.Sleep(afterKill)
	case <-ctx.Done():
	}
	rec.printf("users: %d, answered 200: %d, without a connection or an answer: %d; peak memory of %s now: %s", play.userCount.Load(), play.userServed.Load(), play.userFailures.Load(), survivor.name, survivor.peakMemory())
	cancel()
	clients.Wait()
	platform.Wait()
	play.closeUsers()
	play.mu.Lock()
	defer play.mu.Unlock()
	rec.printf("processes killed for their memory: %d; requests of kept connections that servers ran and that got no answer when the connection was closed: %d, %d are allowed", play.kills, len(play.lost), maxLostKept)
	return len(play.lost) > maxLostKept, nil
}

// watchMemory kills the process of a node when it exceeds the memory of the machine, and starts
// it again, as the platform does. Only memory that the process itself has written counts here,
// neither its program nor bytes in sockets.
func (play *memoryPlayer) watchMemory(ctx context.Context, nd *node) {
	ticker := time.NewTicker(memoryCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		used := nd.ownMemory()
		if used <= nodeMemory {
			continue
		}
		play.rec.printf("process of %s uses %d MB of memory, above memoryMb: the platform kills it; its connections: %d", nd.name, used>>20, nd.descriptors())
		nd.kill()
		play.mu.Lock()
		play.kills++
		if play.kills == 1 {
			close(play.killed)
		}
		play.mu.Unlock()
		time.Sleep(restartDelay)
		if ctx.Err() == nil {
			play.rec.printf("node %s starts again", nd.name)
			if err := nd.start(); err != nil {
				play.rec.printf("node %s can't start: %v", nd.name, err)
			}
		}
	}
}

// ownMemory returns the anonymous resident memory of the process, in bytes.
func (nd *node) ownMemory() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", nd.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if val, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			num, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(val), " kB"))
			return num << 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (nd *node) descriptors() int {
	dir, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", nd.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(dir)
}

// arrived records the requests of kept clients that servers run.
func (play *memoryPlayer) arrived(_ *server, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, keptPath) {
		play.mu.Lock()
		defer play.mu.Unlock()
		play.ran[req.Header.Get(platform.HeaderAttemptID)] = true
	}
}

// keep sends requests on one connection, and records the one that gets no answer.
func (play *memoryPlayer) keep(ctx context.Context, num int, nd *node) {
	conn, err := net.DialTimeout("tcp", nd.addr(), time.Second)
	if err != nil {
		play.rec.printf("kept client %d gets no connection: %v", num, err)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for count := 0; ctx.Err() == nil; count++ {
		attempt := nextAttempt()
		status, closed, err := exchange(conn, reader, keptPath+attempt, attempt, keptKey, "", shortBody)
		if closed {
			play.mu.Lock()
			ran := play.ran[attempt]
			if ran && count > 0 {
				play.lost = append(play.lost, attempt)
			}
			play.mu.Unlock()
			play.rec.printf("kept client %d: request %s, number %d of its connection, gets no answer: %v; a server ran it: %v", num, attempt, count+1, err, ran)
			return
		}
		if status != http.StatusOK {
			time.Sleep(keptWork)
		}
	}
}
