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
	// Platform makes the log and the VM list unreachable.
	Platform bool
	// Peers makes the entry VMs of other zones unreachable.
	Peers bool
}

// partitionSet has the partition of each zone. A connection between separated
// zones goes silent: it is neither refused nor closed, and stays silent after
// the partition has ended.
type partitionSet struct {
	mu         sync.Mutex
	byZone     map[core.Zone]Partition
	zoneByAddr map[string]core.Zone
	conns      map[*zoneConn]bool
}

// newPartitionSet returns a set without any partition.
func newPartitionSet() *partitionSet {
	return &partitionSet{
		byZone:     make(map[core.Zone]Partition),
		zoneByAddr: make(map[string]core.Zone),
		conns:      make(map[*zoneConn]bool),
	}
}

// set replaces the partition of a zone and silences the connections that cross
// it.
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

// separated reports whether two zones are partitioned from each other. The
// caller holds the lock.
func (partitions *partitionSet) separated(src, dst core.Zone) bool {
	return src != dst && (partitions.byZone[src].Peers || partitions.byZone[dst].Peers)
}

// platformUnreachable reports whether a zone is partitioned from the platform.
func (partitions *partitionSet) platformUnreachable(zone core.Zone) bool {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	return partitions.byZone[zone].Platform
}

// setAddrZone sets the zone of an address.
func (partitions *partitionSet) setAddrZone(addr string, zone core.Zone) {
	partitions.mu.Lock()
	defer partitions.mu.Unlock()
	partitions.zoneByAddr[addr] = zone
}

// dial opens a connection from a zone; it is silent if the zones are
// separated.
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

// zoneConn is a connection that can go silent.
type zoneConn struct {
	net.Conn
	src, dst   core.Zone
	silenced   chan struct{}
	once       sync.Once
	partitions *partitionSet
}

// silence makes the connection drop all data in both directions.
func (conn *zoneConn) silence() { conn.once.Do(func() { close(conn.silenced) }) }

// silent reports whether the connection is silent.
func (conn *zoneConn) silent() bool {
	select {
	case <-conn.silenced:
		return true
	default:
		return false
	}
}

// Read reads from the connection. Data received on a silent connection is
// dropped.
func (conn *zoneConn) Read(buf []byte) (int, error) {
	for {
		n, err := conn.Conn.Read(buf)
		if err != nil || !conn.silent() {
			return n, err
		}
	}
}

// Write writes to the connection. Data sent on a silent connection is dropped.
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

// partitionTimeout is the time after which a call to an unreachable platform
// fails.
const partitionTimeout = 100 * time.Millisecond

// waitForTimeout waits as long as a call to an unreachable service.
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

// Append appends unless the zone is partitioned from the platform.
func (log *partitionedLog) Append(ctx context.Context, era core.Era, id core.RecordID, data []byte) (core.Offset, error) {
	if log.partitions.platformUnreachable(log.zone) {
		waitForTimeout(ctx)
		return 0, core.Errorf(core.CodeLogUnknown, "platform unreachable")
	}
	offset, err := log.Log.Append(ctx, era, id, data)
	if log.partitions.platformUnreachable(log.zone) {
		return 0, core.Errorf(core.CodeLogUnknown, "platform unreachable before the response")
	}
	return offset, err
}

// Read reads unless the zone is partitioned from the platform.
func (log *partitionedLog) Read(ctx context.Context, from core.Offset, limit int, wait time.Duration) (core.Page, error) {
	if log.partitions.platformUnreachable(log.zone) {
		waitForTimeout(ctx)
		return core.Page{}, core.Errorf(core.CodeLogDown, "platform unreachable")
	}
	page, err := log.Log.Read(ctx, from, limit, wait)
	if log.partitions.platformUnreachable(log.zone) {
		return core.Page{}, core.Errorf(core.CodeLogDown, "platform unreachable before the response")
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

// VMs reads the list unless the zone is partitioned from the platform.
func (lister *partitionedLister) VMs(ctx context.Context) ([]core.VM, error) {
	if lister.partitions.platformUnreachable(lister.zone) {
		waitForTimeout(ctx)
		return nil, core.Errorf(core.CodeLogDown, "platform unreachable")
	}
	return lister.VMLister.VMs(ctx)
}
