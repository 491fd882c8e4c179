package wire

import "sync"

// Pools holds one Pool per server address. It is safe for concurrent use.
type Pools struct {
	cfg    Config
	mtx    sync.Mutex
	byAddr map[string]*Pool
}

// NewPools returns an empty set of pools that share cfg.
func NewPools(cfg Config) *Pools {
	return &Pools{cfg: cfg, byAddr: map[string]*Pool{}}
}

// Get returns the pool for addr and creates it on first use.
func (pools *Pools) Get(addr string) *Pool {
	pools.mtx.Lock()
	defer pools.mtx.Unlock()
	pool := pools.byAddr[addr]
	if pool == nil {
		pool = New(addr, pools.cfg)
		pools.byAddr[addr] = pool
	}
	return pool
}

// Retain closes and removes the pools for whose address keep returns false.
// In-flight requests are not interrupted.
func (pools *Pools) Retain(keep func(addr string) bool) {
	pools.mtx.Lock()
	defer pools.mtx.Unlock()
	for addr, pool := range pools.byAddr {
		if !keep(addr) {
			pool.Close()
			delete(pools.byAddr, addr)
		}
	}
}
