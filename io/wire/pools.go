package wire

import "sync"

// Pools holds a pool for each server by its address. It is safe for
// concurrent use.
type Pools struct {
	cfg  Config
	mtx  sync.Mutex
	pool map[string]*Pool
}

// NewPools returns an empty set of pools that share cfg.
func NewPools(cfg Config) *Pools {
	return &Pools{cfg: cfg, pool: map[string]*Pool{}}
}

// Get returns the pool for addr.
func (pos *Pools) Get(addr string) *Pool {
	pos.mtx.Lock()
	defer pos.mtx.Unlock()
	poo := pos.pool[addr]
	if poo == nil {
		poo = New(addr, pos.cfg)
		pos.pool[addr] = poo
	}
	return poo
}

// Retain closes the pools whose address keep refuses. Their requests in
// progress are not cut.
func (pos *Pools) Retain(keep func(addr string) bool) {
	pos.mtx.Lock()
	defer pos.mtx.Unlock()
	for addr, poo := range pos.pool {
		if !keep(addr) {
			poo.Close()
			delete(pos.pool, addr)
		}
	}
}
