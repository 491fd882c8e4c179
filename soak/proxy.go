package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what a proxy does to the connections through it.
type Harm struct {
	// Delay is added to each chunk of bytes.
	Delay time.Duration
	// DropOut drops the bytes from callers, DropIn those from the target. New
	// connections open all the same.
	DropOut, DropIn bool
}

// Proxy forwards TCP connections on loopback.
type Proxy struct {
	lis    net.Listener
	target string

	mtx  sync.Mutex
	harm Harm
	cons map[*net.TCPConn]struct{}
	wgr  sync.WaitGroup
}

// NewProxy starts a proxy to the address target. Close stops it.
func NewProxy(target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx := &Proxy{lis: lis, target: target, cons: map[*net.TCPConn]struct{}{}}
	prx.wgr.Go(prx.accept)
	return prx, nil
}

// Addr returns the proxy's address.
func (prx *Proxy) Addr() string { return prx.lis.Addr().String() }

// SetHarm sets what happens to bytes from now on.
func (prx *Proxy) SetHarm(hrm Harm) {
	prx.mtx.Lock()
	defer prx.mtx.Unlock()
	prx.harm = hrm
}

// Reset resets all open connections.
func (prx *Proxy) Reset() {
	prx.mtx.Lock()
	defer prx.mtx.Unlock()
	for con := range prx.cons {
		// Without lingering, a close resets. A connection that has ended
		// meanwhile needs no reset.
		_ = con.SetLinger(0)
		_ = con.Close()
	}
}

// Close stops the proxy and its connections.
func (prx *Proxy) Close() {
	_ = prx.lis.Close()
	prx.Reset()
	prx.wgr.Wait()
}

func (prx *Proxy) accept() {
	for {
		con, err := prx.lis.Accept()
		if err != nil {
			return
		}
		prx.wgr.Go(func() { prx.serve(con.(*net.TCPConn)) })
	}
}

// serve forwards one connection until both directions have ended.
func (prx *Proxy) serve(in *net.TCPConn) {
	prx.track(in, true)
	defer prx.track(in, false)
	con, err := net.Dial("tcp", prx.target)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := con.(*net.TCPConn)
	prx.track(out, true)
	defer prx.track(out, false)
	var wgr sync.WaitGroup
	wgr.Go(func() { prx.pipe(out, in, func(hrm Harm) bool { return hrm.DropOut }) })
	wgr.Go(func() { prx.pipe(in, out, func(hrm Harm) bool { return hrm.DropIn }) })
	wgr.Wait()
}

func (prx *Proxy) track(con *net.TCPConn, open bool) {
	prx.mtx.Lock()
	defer prx.mtx.Unlock()
	if open {
		prx.cons[con] = struct{}{}
		return
	}
	delete(prx.cons, con)
	_ = con.Close()
}

func (prx *Proxy) current() Harm {
	prx.mtx.Lock()
	defer prx.mtx.Unlock()
	return prx.harm
}

// pipe copies one direction. Bytes that are dropped are lost for good, and the
// connection stays silent from there on.
func (prx *Proxy) pipe(dst, src *net.TCPConn, drops func(Harm) bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		num, err := src.Read(buf)
		hrm := prx.current()
		time.Sleep(hrm.Delay)
		lost = lost || num > 0 && drops(hrm)
		if num > 0 && !lost {
			_, werr := dst.Write(buf[:num])
			err = errors.Join(err, werr)
		}
		switch {
		case err == nil:
		case lost:
			// The end is lost as well.
			return
		case errors.Is(err, io.EOF):
			// The other direction may still carry an answer.
			_ = dst.CloseWrite()
			return
		default:
			_ = dst.SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}
