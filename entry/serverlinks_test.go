package entry_test

import (
	"context"
	"net"
	"sync"
	"syscall"

	"kumquathinge/soak"
)

// cut is how a node is cut off from all backend servers.
type cut uint8

const (
	cutNone cut = iota
	// cutSilent lets connections hang, cutReset resets open ones and refuses new ones,
	// cutRefuse refuses new ones while open ones live on.
	cutSilent
	cutReset
	cutRefuse
)

// serverLinks are the connections of one node to the backend servers. The zero value is
// not usable.
type serverLinks struct {
	mtx     sync.Mutex
	proxies map[string]*soak.Proxy
	cut     cut
}

// dial opens a connection to a server.
func (lnk *serverLinks) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	proxy, how, err := lnk.proxy(addr)
	if err != nil {
		return nil, err
	}
	switch how {
	case cutSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutReset, cutRefuse:
		return nil, syscall.ECONNREFUSED
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, proxy.Addr())
}

// proxy returns the proxy for a server, and how the node is cut off.
func (lnk *serverLinks) proxy(addr string) (*soak.Proxy, cut, error) {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	proxy := lnk.proxies[addr]
	if proxy == nil {
		var err error
		proxy, err = soak.NewProxy(addr)
		if err != nil {
			return nil, lnk.cut, err
		}
		lnk.proxies[addr] = proxy
	}
	return proxy, lnk.cut, nil
}

// setCut cuts the node off, or ends that.
func (lnk *serverLinks) setCut(how cut) {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	lnk.cut = how
	for _, proxy := range lnk.proxies {
		proxy.SetFault(soak.ConnFault{DropUpstream: how == cutSilent, DropDownstream: how == cutSilent})
		if how == cutReset {
			proxy.Reset()
		}
	}
}

func (lnk *serverLinks) close() {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	for _, proxy := range lnk.proxies {
		proxy.Close()
	}
}
