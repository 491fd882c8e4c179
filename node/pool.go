package node

import (
	"sync"

	"kumquathinge/io/plain"
)

// plains keeps the clients of plain services' servers by address.
type plains struct {
	mu  sync.Mutex
	all map[string]*plain.Service
}

// get returns the client of addr and makes it on first use.
func (pls *plains) get(addr string, mk func() *plain.Service) *plain.Service {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	if pls.all == nil {
		pls.all = make(map[string]*plain.Service)
	}
	cli, ok := pls.all[addr]
	if !ok {
		cli = mk()
		pls.all[addr] = cli
	}
	return cli
}
