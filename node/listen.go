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

// newListeners opens the sockets, those for operators and peers with TLS if
// there is a configuration. Its error carries core.CodeListenFailed.
func newListeners(cfg Config, sec *tls.Config) (*listeners, error) {
	lis := &listeners{}
	adr := cfg.Listen
	for _, itm := range []struct {
		addr string
		to   *net.Listener
	}{
		{adr.Callers, &lis.callers},
		{adr.Operators, &lis.operators},
		{adr.Peers, &lis.peers},
		{adr.Metrics, &lis.metrics},
	} {
		got, err := net.Listen("tcp", itm.addr)
		if err != nil {
			lis.close()
			return nil, core.Errorf(core.CodeListenFailed, "listen on %s: %v", itm.addr, err)
		}
		*itm.to = got
	}
	lis.operators = secure(lis.operators, sec)
	lis.peers = secure(lis.peers, sec)
	return lis, nil
}

// close closes the sockets that are open.
func (lis *listeners) close() {
	for _, one := range []net.Listener{lis.callers, lis.operators, lis.peers, lis.metrics} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// Addrs returns the addresses that the node listens on, with the ports that
// the system chose where the start file has port 0.
func (nod *Node) Addrs() Listen {
	return Listen{
		Callers:   nod.lis.callers.Addr().String(),
		Operators: nod.lis.operators.Addr().String(),
		Peers:     nod.lis.peers.Addr().String(),
		Metrics:   nod.lis.metrics.Addr().String(),
	}
}
