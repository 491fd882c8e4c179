package soak

import (
	"errors"
	"io"
	"net"
	"slices"
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
	// Refuse resets new connections. Reset is set if open ones are reset too.
	Refuse, Reset bool
}

// Proxy forwards TCP connections from a loopback address to a target.
type Proxy struct {
	listener net.Listener
	target   string
	// links identifies the nodes that open connections. It is nil if that is not needed.
	links *nodeLinks

	mu    sync.Mutex
	fault ConnFault
	// conns are the open connections with the nodes that opened them, nil if that is not
	// known.
	conns map[*net.TCPConn]*Node
	wg    sync.WaitGroup
}

// NewProxy starts a proxy that forwards to the address target until Close.
func NewProxy(target string) (*Proxy, error) { return newNodeProxy(target, nil) }

// newNodeProxy starts a proxy as NewProxy does. Connections of nodes get the faults of
// links, unless that is nil.
func newNodeProxy(target string, links *nodeLinks) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: lis, target: target, links: links, conns: map[*net.TCPConn]*Node{}}
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

// ResetOwned resets the open connections of the nodes.
func (proxy *Proxy) ResetOwned(nodes []*Node) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn, owner := range proxy.conns {
		if slices.Contains(nodes, owner) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
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
	var owner *Node
	if proxy.links != nil {
		owner = proxy.links.ownerOf(in)
	}
	proxy.track(in, owner)
	defer proxy.end(in)
	if proxy.currentFault(owner).Refuse {
		_ = in.SetLinger(0)
		return
	}
	conn, err := net.Dial("tcp", proxy.target)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := conn.(*net.TCPConn)
	proxy.track(out, owner)
	defer proxy.end(out)
	var wg sync.WaitGroup
	wg.Go(func() { proxy.copyOneWay(out, in, owner, func(fault ConnFault) bool { return fault.DropUpstream }) })
	wg.Go(func() { proxy.copyOneWay(in, out, owner, func(fault ConnFault) bool { return fault.DropDownstream }) })
	wg.Wait()
}

func (proxy *Proxy) track(conn *net.TCPConn, owner *Node) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.conns[conn] = owner
}

func (proxy *Proxy) end(conn *net.TCPConn) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.conns, conn)
	_ = conn.Close()
}

// currentFault returns the fault of a connection that the node opened.
func (proxy *Proxy) currentFault(owner *Node) ConnFault {
	if owner != nil {
		if fault := proxy.links.faultOf(owner); fault != (ConnFault{}) {
			return fault
		}
	}
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.fault
}

// copyOneWay copies the bytes of one direction until the end of src. Once it has
// dropped bytes, it forwards nothing more in this direction.
func (proxy *Proxy) copyOneWay(dst, src *net.TCPConn, owner *Node, shouldDrop func(ConnFault) bool) {
	buf := make([]byte, 16<<10)
	dropping := false
	for {
		num, err := src.Read(buf)
		fault := proxy.currentFault(owner)
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
