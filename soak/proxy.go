package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// ConnFault is a fault that a proxy applies to all its connections.
type ConnFault struct {
	// Delay is added to each chunk of bytes.
	Delay time.Duration
	// DropUpstream drops the bytes to the target, DropDownstream those from it.
	// New connections are still accepted.
	DropUpstream, DropDownstream bool
}

// Proxy forwards TCP connections from a loopback address to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault ConnFault
	conns map[*net.TCPConn]struct{}
	wg    sync.WaitGroup
}

// NewProxy starts a proxy that forwards to the address target until Close.
func NewProxy(target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: lis, target: target, conns: map[*net.TCPConn]struct{}{}}
	proxy.wg.Go(proxy.accept)
	return proxy, nil
}

// Addr returns the address on which the proxy listens.
func (proxy *Proxy) Addr() string { return proxy.listener.Addr().String() }

// SetFault replaces the fault, also for open connections.
func (proxy *Proxy) SetFault(fault ConnFault) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.fault = fault
}

// Reset resets all open connections.
func (proxy *Proxy) Reset() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		// With a linger time of 0, Close sends a reset. Errors are ignored:
		// a connection that has already ended needs no reset.
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// Close stops the proxy and resets its connections.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.Reset()
	proxy.wg.Wait()
}

func (proxy *Proxy) accept() {
	for {
		conn, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		proxy.wg.Go(func() { proxy.serve(conn.(*net.TCPConn)) })
	}
}

// serve forwards one connection until both directions have ended.
func (proxy *Proxy) serve(in *net.TCPConn) {
	proxy.track(in, true)
	defer proxy.track(in, false)
	conn, err := net.Dial("tcp", proxy.target)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := conn.(*net.TCPConn)
	proxy.track(out, true)
	defer proxy.track(out, false)
	var wg sync.WaitGroup
	wg.Go(func() { proxy.copyOneWay(out, in, func(fault ConnFault) bool { return fault.DropUpstream }) })
	wg.Go(func() { proxy.copyOneWay(in, out, func(fault ConnFault) bool { return fault.DropDownstream }) })
	wg.Wait()
}

func (proxy *Proxy) track(conn *net.TCPConn, open bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if open {
		proxy.conns[conn] = struct{}{}
		return
	}
	delete(proxy.conns, conn)
	_ = conn.Close()
}

func (proxy *Proxy) currentFault() ConnFault {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.fault
}

// copyOneWay copies the bytes of one direction until the end of src. Once it has
// dropped bytes, it forwards nothing more in this direction.
func (proxy *Proxy) copyOneWay(dst, src *net.TCPConn, shouldDrop func(ConnFault) bool) {
	buf := make([]byte, 16<<10)
	dropping := false
	for {
		num, err := src.Read(buf)
		fault := proxy.currentFault()
		time.Sleep(fault.Delay)
		dropping = dropping || num > 0 && shouldDrop(fault)
		if num > 0 && !dropping {
			_, werr := dst.Write(buf[:num])
			err = errors.Join(err, werr)
		}
		switch {
		case err == nil:
		case dropping:
			// The end of the stream is dropped as well.
			return
		case errors.Is(err, io.EOF):
			// The other direction may still carry a response.
			_ = dst.CloseWrite()
			return
		default:
			_ = dst.SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}
