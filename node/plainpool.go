package node

import (
	"sync"

	"kumquathinge/io/plain"
)

// plainClientPool has the clients of plain services' servers by address.
type plainClientPool struct {
	mu     sync.Mutex
	byAddr map[string]*plain.Client
}

// get returns the client of addr, creating it on first use.
func (pool *plainClientPool) get(addr string, newClient func() *plain.Client) *plain.Client {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.byAddr == nil {
		pool.byAddr = make(map[string]*plain.Client)
	}
	client, ok := pool.byAddr[addr]
	if !ok {
		client = newClient()
		pool.byAddr[addr] = client
	}
	return client
}
