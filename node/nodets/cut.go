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

// Partition is what an entry VM can't reach.
type Partition struct {
	// Platform cuts it from the log and the VM list.
	Platform bool
	// Peers cuts it from the entry VMs of other zones.
	Peers bool
}

// partitionSet holds the cut of each zone. A connection across a cut goes silent: it
// is neither refused nor closed, and stays silent when the cut is healed.
type partitionSet struct {
	mu         sync.Mutex
	byZone     map[core.Zone]Partition
	zoneByAddr map[string]core.Zone
	conns      map[*zoneConn]bool
}

// newPartitionSet returns cuts that let everything through.
func newPartitionSet() *partitionSet {
	return &partitionSet{
		byZone:     make(map[core.Zone]Partition),
		zoneByAddr: make(map[string]core.Zone),
		conns:      make(map[*zoneConn]bool),
	}
}

// set replaces the cut of a zone and silences the links that cross it.
func (partitions *partitionSet) set(zone core.Zone, partition Partition) {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	partitions.byZone[zone] = partition
	for conn := range partitions.conns {
		if partitions.separated(conn.src, conn.dst) {
			conn.silence()
		}
	}
}

// separated reports whether two zones are cut from each other. The caller holds
// the lock.
func (partitions *partitionSet) separated(src, dst core.Zone) bool {
	return src != dst && (partitions.byZone[src].Peers || partitions.byZone[dst].Peers)
}

// platformUnreachable reports whether a zone is cut from the platform.
func (partitions *partitionSet) platformUnreachable(zone core.Zone) bool {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	return partitions.byZone[zone].Platform
}

// setAddrZone states in which zone an address is.
func (partitions *partitionSet) setAddrZone(addr string, zone core.Zone) {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	partitions.zoneByAddr[addr] = zone
}

// dial opens a connection from a zone, silent if it crosses a cut.
func (partitions *partitionSet) dial(ctx context.Context, src core.Zone, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	rawConn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	conn := &zoneConn{Conn: rawConn, src: src, dst: partitions.zoneByAddr[addr], silenced: make(chan struct{}), partitions: partitions}
	partitions.conns[conn] = true
	if partitions.separated(conn.src, conn.dst) {
		conn.silence()
	}
	return conn, nil
}

// zoneConn is a connection that may go silent.
type zoneConn struct {
	net.Conn
	src, dst   core.Zone
	silenced   chan struct{}
	once       sync.Once
	partitions *partitionSet
}

// silence makes the link swallow what is written and deliver nothing.
func (conn *zoneConn) silence() { conn.once.Do(func() { close(conn.silenced) }) }

// silent reports whether the link is silent.
func (conn *zoneConn) silent() bool {
	select {
	case <-conn.silenced:
		return true
	default:
		return false
	}
}

// Read reads from the connection; what comes on a silent link is dropped.
func (conn *zoneConn) Read(buf []byte) (int, error) {
	for {
		n, err := conn.Conn.Read(buf)
		if err != nil || !conn.silent() {
			return n, err
		}
	}
}

// Write writes to the connection; what goes to a silent link is dropped.
func (conn *zoneConn) Write(buf []byte) (int, error) {
	if conn.silent() {
		return len(buf), nil
	}
	return conn.Conn.Write(buf)
}

// Close closes the connection.
func (conn *zoneConn) Close() error {
	conn.partitions.mu.Lock()
	delete(conn.partitions.conns, conn)
	conn.partitions.mu.Unlock()
	return conn.Conn.Close()
}

// partitionTimeout is the time after which a call to a platform that is cut off fails.
const partitionTimeout = 100 * time.Millisecond

// waitForTimeout waits like a caller of a service that is cut off.
func waitForTimeout(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(partitionTimeout):
	}
}

// partitionedLog is the log as a zone reaches it.
type partitionedLog struct {
	core.Log
	partitions *partitionSet
	zone       core.Zone
}

// newPartitionedLog returns the log at addr for a zone.
func newPartitionedLog(addr string, partitions *partitionSet, zone core.Zone) core.Log {
	return &partitionedLog{Log: logs.New("http://" + addr), partitions: partitions, zone: zone}
}

// Append appends unless the zone is cut off.
func (log *partitionedLog) Append(ctx context.Context, id core.RecordID, data []byte) (core.Offset, error) {
	if log.partitions.platformUnreachable(log.zone) {
		waitForTimeout(ctx)
		return 0, core.Errorf(core.CodeLogUnknown, "cut off")
	}
	offset, err := log.Log.Append(ctx, id, data)
	if log.partitions.platformUnreachable(log.zone) {
		return 0, core.Errorf(core.CodeLogUnknown, "cut off before the answer")
	}
	return offset, err
}

// Read reads unless the zone is cut off.
func (log *partitionedLog) Read(ctx context.Context, from core.Offset, limit int, wait time.Duration) (core.Page, error) {
	if log.partitions.platformUnreachable(log.zone) {
		waitForTimeout(ctx)
		return core.Page{}, core.Errorf(core.CodeLogDown, "cut off")
	}
	page, err := log.Log.Read(ctx, from, limit, wait)
	if log.partitions.platformUnreachable(log.zone) {
		return core.Page{}, core.Errorf(core.CodeLogDown, "cut off before the answer")
	}
	return page, err
}

// partitionedLister is the VM list as a zone reaches it.
type partitionedLister struct {
	core.VMLister
	partitions *partitionSet
	zone       core.Zone
}

// newPartitionedLister returns the list at addr for a zone.
func newPartitionedLister(addr string, partitions *partitionSet, zone core.Zone) core.VMLister {
	return &partitionedLister{VMLister: vms.New(addr), partitions: partitions, zone: zone}
}

// VMs reads the list unless the zone is cut off.
func (lister *partitionedLister) VMs(ctx context.Context) ([]core.VM, error) {
	if lister.partitions.platformUnreachable(lister.zone) {
		waitForTimeout(ctx)
		return nil, core.Errorf(core.CodeLogDown, "cut off")
	}
	return lister.VMLister.VMs(ctx)
}
