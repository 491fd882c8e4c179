package node

import (
	"crypto/tls"
	"net"

	"kumquathinge/core"
)

// listeners are a node's listening sockets.
type listeners struct {
	callers, operators, peers, metrics net.Listener
}

// newListeners opens the sockets, those for operators and peers with TLS
// unless tlsCfg is nil. Its error carries core.CodeListenFailed.
func newListeners(cfg Config, tlsCfg *tls.Config) (*listeners, error) {
	lis := &listeners{}
	addrs := cfg.Listen
	for _, item := range []struct {
		addr string
		dst  *net.Listener
	}{
		{addrs.Callers, &lis.callers},
		{addrs.Operators, &lis.operators},
		{addrs.Peers, &lis.peers},
		{addrs.Metrics, &lis.metrics},
	} {
		got, err := net.Listen("tcp", item.addr)
		if err != nil {
			lis.close()
			return nil, core.Errorf(core.CodeListenFailed, "listen on %s: %v", item.addr, err)
		}
		*item.dst = got
	}
	lis.operators = withTLS(lis.operators, tlsCfg)
	lis.peers = withTLS(lis.peers, tlsCfg)
	return lis, nil
}

// close closes the sockets that are open.
func (lis *listeners) close() {
	for _, ln := range []net.Listener{lis.callers, lis.operators, lis.peers, lis.metrics} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Addrs returns the addresses that the node listens on, with the ports that
// the system chose in place of port 0.
func (node *Node) Addrs() Listen {
	return Listen{
		Callers:   node.listeners.callers.Addr().String(),
		Operators: node.listeners.operators.Addr().String(),
		Peers:     node.listeners.peers.Addr().String(),
		Metrics:   node.listeners.metrics.Addr().String(),
	}
}
