package logfk

import (
	"context"
	"slices"
	"sync"
	"time"

	"kumquathinge/core"
)

// Fault is the fault injected into one append.
type Fault int

// Faults of an append.
const (
	// FaultNone lets the append succeed.
	FaultNone Fault = iota
	// FaultRefused rejects the append with core.CodeLogRefused.
	FaultRefused
	// FaultRequestLost drops the append and returns core.CodeLogUnknown.
	FaultRequestLost
	// FaultResponseLost appends the entry and returns core.CodeLogUnknown.
	FaultResponseLost
	// FaultDuplicated appends the entry twice and returns the second offset.
	FaultDuplicated
)

// Log is a log service in memory. It is safe for concurrent use.
type Log struct {
	mu          sync.Mutex
	now         func() time.Time
	era         core.Era
	firstOffset core.Offset
	entries     []core.Entry
	appended    chan struct{}
	down        bool
}

// New returns an empty Log that timestamps its entries with now and states era 1.
func New(now func() time.Time) *Log {
	return &Log{now: now, era: 1, firstOffset: 1, appended: make(chan struct{})}
}

// SetDown sets whether the service is unreachable for all clients.
func (log *Log) SetDown(down bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.down = down
}

// Trim deletes the entries before offset first.
func (log *Log) Trim(first core.Offset) {
	log.mu.Lock()
	defer log.mu.Unlock()
	first = min(first, log.nextOffset())
	if first > log.firstOffset {
		log.entries = log.entries[first-log.firstOffset:]
		log.firstOffset = first
	}
}

// Restore makes the log come back from a copy that ends before offset next, which
// begins another era. The offsets of the lost entries are given out again.
func (log *Log) Restore(next core.Offset) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.entries = log.entries[:max(next, log.firstOffset)-log.firstOffset]
	if log.era != 0 {
		log.era++
	}
}

// SetEra sets the era that the log states, zero for none.
func (log *Log) SetEra(era core.Era) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.era = era
}

// Era returns the era that the log states.
func (log *Log) Era() core.Era {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.era
}

// NextOffset returns the offset of the next append.
func (log *Log) NextOffset() core.Offset {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.nextOffset()
}

func (log *Log) nextOffset() core.Offset { return log.firstOffset + core.Offset(len(log.entries)) }

func (log *Log) appendEntry(id core.RecordID, data []byte) core.Offset {
	offset := log.nextOffset()
	log.entries = append(log.entries, core.Entry{Offset: offset, ID: id, At: log.now(), Data: slices.Clone(data)})
	close(log.appended)
	log.appended = make(chan struct{})
	return offset
}

// EntriesFrom returns the retained entries from an offset on, regardless of
// faults.
func (log *Log) EntriesFrom(from core.Offset) []core.Entry {
	log.mu.Lock()
	defer log.mu.Unlock()
	from = max(from, log.firstOffset)
	if from >= log.nextOffset() {
		return nil
	}
	return cloneEntries(log.entries[from-log.firstOffset:])
}

func cloneEntries(entries []core.Entry) []core.Entry {
	out := slices.Clone(entries)
	for idx := range out {
		out[idx].Data = slices.Clone(out[idx].Data)
	}
	return out
}

// readPage returns up to limit entries from an offset on, and a channel that is
// closed at the next append.
func (log *Log) readPage(from core.Offset, limit int) (core.Page, <-chan struct{}, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.down {
		return core.Page{}, nil, core.Errorf(core.CodeLogDown, "the log is unreachable")
	}
	page := core.Page{First: log.firstOffset, Next: log.nextOffset(), Era: log.era}
	if from < log.firstOffset {
		return page, nil, core.Errorf(core.CodeLogGap, "the oldest retained entry has offset %d, not %d", log.firstOffset, from)
	}
	if from < page.Next {
		entries := log.entries[from-log.firstOffset:]
		page.Entries = cloneEntries(entries[:min(limit, len(entries))])
	}
	return page, log.appended, nil
}

// Client is one connection to a Log.
type Client struct {
	log          *Log
	mu           sync.Mutex
	faults       []Fault
	disconnected bool
	appendCalls  int
}

var _ core.Log = (*Client)(nil)

// Client returns a new connection.
func (log *Log) Client() *Client { return &Client{log: log} }

// InjectFaults queues one fault for each of the next appends of this client.
func (cli *Client) InjectFaults(faults ...Fault) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	cli.faults = append(cli.faults, faults...)
}

// SetDisconnected sets whether the service is unreachable for this client.
func (cli *Client) SetDisconnected(disconnected bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	cli.disconnected = disconnected
}

// AppendCalls returns the number of calls of Append.
func (cli *Client) AppendCalls() int {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.appendCalls
}

// nextFault returns the fault of this append and whether the client is
// disconnected.
func (cli *Client) nextFault() (Fault, bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	cli.appendCalls++
	if cli.disconnected || len(cli.faults) == 0 {
		return FaultNone, cli.disconnected
	}
	fault := cli.faults[0]
	cli.faults = cli.faults[1:]
	return fault, false
}

func (cli *Client) isDisconnected() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.disconnected
}

// Append appends data as one entry, unless a fault prevents it or the log is in
// another era than the given one. Era zero matches every era.
func (cli *Client) Append(ctx context.Context, era core.Era, id core.RecordID, data []byte) (core.Offset, error) {
	if ctx.Err() != nil {
		return 0, core.Errorf(core.CodeLogRefused, "the context ended before the append was sent")
	}
	fault, disconnected := cli.nextFault()
	log := cli.log
	log.mu.Lock()
	defer log.mu.Unlock()
	if disconnected || log.down || fault == FaultRefused || era != 0 && log.era != 0 && era != log.era {
		return 0, core.Errorf(core.CodeLogRefused, "the log refused the append")
	}
	if fault == FaultRequestLost {
		return 0, core.Errorf(core.CodeLogUnknown, "the response to the append was lost")
	}
	offset := log.appendEntry(id, data)
	if fault == FaultResponseLost {
		return 0, core.Errorf(core.CodeLogUnknown, "the response to the append was lost")
	}
	if fault == FaultDuplicated {
		offset = log.appendEntry(id, data)
	}
	return offset, nil
}

// Read returns up to limit entries from offset from on. If there is none, it
// waits for the next append for at most the duration wait.
func (cli *Client) Read(ctx context.Context, from core.Offset, limit int, wait time.Duration) (core.Page, error) {
	if cli.isDisconnected() {
		return core.Page{}, core.Errorf(core.CodeLogDown, "the log is unreachable")
	}
	page, appended, err := cli.log.readPage(from, limit)
	if err != nil || len(page.Entries) > 0 || wait == 0 {
		return page, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-appended:
	case <-timer.C:
	case <-ctx.Done():
	}
	page, _, err = cli.log.readPage(from, limit)
	return page, err
}
