package nodets

import (
	"context"
	"net"
	"sync"
	"time"

	"kumquathinge/core"
	"kumquathinge/io/logs"
	"kumquathinge/io/vms"
)

// Cut is what an entry VM can't reach.
type Cut struct {
	// Platform cuts it from the log and the VM list.
	Platform bool
	// Peers cuts it from the entry VMs of other zones.
	Peers bool
}

// cuts holds the cut of each zone. A connection across a cut goes silent: it
// is neither refused nor closed, and stays silent when the cut is healed.
type cuts struct {
	mu    sync.Mutex
	zones map[core.Zone]Cut
	addrs map[string]core.Zone
	over  map[*link]bool
}

// newCuts returns cuts that let everything through.
func newCuts() *cuts {
	return &cuts{
		zones: make(map[core.Zone]Cut),
		addrs: make(map[string]core.Zone),
		over:  make(map[*link]bool),
	}
}

// set replaces the cut of a zone and silences the links that cross it.
func (cts *cuts) set(zon core.Zone, cut Cut) {
	cts.mu.Lock()
	defer cts.mu.Unlock()
	cts.zones[zon] = cut
	for lnk := range cts.over {
		if cts.severed(lnk.src, lnk.dst) {
			lnk.silence()
		}
	}
}

// severed reports whether two zones are cut from each other. The caller holds
// the lock.
func (cts *cuts) severed(src, dst core.Zone) bool {
	return src != dst && (cts.zones[src].Peers || cts.zones[dst].Peers)
}

// platform reports whether a zone is cut from the platform.
func (cts *cuts) platform(zon core.Zone) bool {
	cts.mu.Lock()
	defer cts.mu.Unlock()
	return cts.zones[zon].Platform
}

// listens states in which zone an address is.
func (cts *cuts) listens(addr string, zon core.Zone) {
	cts.mu.Lock()
	defer cts.mu.Unlock()
	cts.addrs[addr] = zon
}

// dial opens a connection from a zone, silent if it crosses a cut.
func (cts *cuts) dial(ctx context.Context, src core.Zone, network, addr string) (net.Conn, error) {
	var dlr net.Dialer
	con, err := dlr.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	cts.mu.Lock()
	defer cts.mu.Unlock()
	lnk := &link{Conn: con, src: src, dst: cts.addrs[addr], hush: make(chan struct{}), cts: cts}
	cts.over[lnk] = true
	if cts.severed(lnk.src, lnk.dst) {
		lnk.silence()
	}
	return lnk, nil
}

// link is a connection that may go silent.
type link struct {
	net.Conn
	src, dst core.Zone
	hush     chan struct{}
	once     sync.Once
	cts      *cuts
}

// silence makes the link swallow what is written and deliver nothing.
func (lnk *link) silence() { lnk.once.Do(func() { close(lnk.hush) }) }

// silent reports whether the link is silent.
func (lnk *link) silent() bool {
	select {
	case <-lnk.hush:
		return true
	default:
		return false
	}
}

// Read reads from the connection; what comes on a silent link is dropped.
func (lnk *link) Read(buf []byte) (int, error) {
	for {
		num, err := lnk.Conn.Read(buf)
		if err != nil || !lnk.silent() {
			return num, err
		}
	}
}

// Write writes to the connection; what goes to a silent link is dropped.
func (lnk *link) Write(buf []byte) (int, error) {
	if lnk.silent() {
		return len(buf), nil
	}
	return lnk.Conn.Write(buf)
}

// Close closes the connection.
func (lnk *link) Close() error {
	lnk.cts.mu.Lock()
	delete(lnk.cts.over, lnk)
	lnk.cts.mu.Unlock()
	return lnk.Conn.Close()
}

// cutPause is the time after which a call to a platform that is cut off fails.
const cutPause = 100 * time.Millisecond

// stall waits like a caller of a service that is cut off.
func stall(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(cutPause):
	}
}

// cutLog is the log as a zone reaches it.
type cutLog struct {
	core.Log
	cts *cuts
	zon core.Zone
}

// newCutLog returns the log at addr for a zone.
func newCutLog(addr string, cts *cuts, zon core.Zone) core.Log {
	return &cutLog{Log: logs.New("http://" + addr), cts: cts, zon: zon}
}

// Append appends unless the zone is cut off.
func (clg *cutLog) Append(ctx context.Context, id core.RecordID, data []byte) (core.Offset, error) {
	if clg.cts.platform(clg.zon) {
		stall(ctx)
		return 0, core.Errorf(core.CodeLogUnknown, "cut off")
	}
	off, err := clg.Log.Append(ctx, id, data)
	if clg.cts.platform(clg.zon) {
		return 0, core.Errorf(core.CodeLogUnknown, "cut off before the answer")
	}
	return off, err
}

// Read reads unless the zone is cut off.
func (clg *cutLog) Read(ctx context.Context, from core.Offset, max int, wait time.Duration) (core.Page, error) {
	if clg.cts.platform(clg.zon) {
		stall(ctx)
		return core.Page{}, core.Errorf(core.CodeLogDown, "cut off")
	}
	pag, err := clg.Log.Read(ctx, from, max, wait)
	if clg.cts.platform(clg.zon) {
		return core.Page{}, core.Errorf(core.CodeLogDown, "cut off before the answer")
	}
	return pag, err
}

// cutLister is the VM list as a zone reaches it.
type cutLister struct {
	core.VMLister
	cts *cuts
	zon core.Zone
}

// newCutLister returns the list at addr for a zone.
func newCutLister(addr string, cts *cuts, zon core.Zone) core.VMLister {
	return &cutLister{VMLister: vms.New(addr), cts: cts, zon: zon}
}

// VMs reads the list unless the zone is cut off.
func (cls *cutLister) VMs(ctx context.Context) ([]core.VM, error) {
	if cls.cts.platform(cls.zon) {
		stall(ctx)
		return nil, core.Errorf(core.CodeLogDown, "cut off")
	}
	return cls.VMLister.VMs(ctx)
}
