package logfk

import (
	"context"
	"slices"
	"sync"
	"time"

	"kumquathinge/core"
)

// Fault is what happens to one append.
type Fault int

// Faults of an append.
const (
	// None lets the append pass.
	None Fault = iota
	// Refuse fails the append before it takes effect and says so.
	Refuse
	// LoseBefore fails the append before it takes effect without saying so.
	LoseBefore
	// LoseAfter appends the entry and loses the answer.
	LoseAfter
	// Duplicate appends the entry twice and answers with the second offset.
	Duplicate
)

// Log is a log service in memory. Its methods may be called from several
// goroutines.
type Log struct {
	mut     sync.Mutex
	now     func() time.Time
	first   core.Offset
	entries []core.Entry
	grown   chan struct{}
	down    bool
}

// New returns an empty Log whose entries carry the times that now returns.
func New(now func() time.Time) *Log {
	return &Log{now: now, first: 1, grown: make(chan struct{})}
}

// Down makes the service unreachable for everyone, or reachable again.
func (lgs *Log) Down(isDown bool) {
	lgs.mut.Lock()
	defer lgs.mut.Unlock()
	lgs.down = isDown
}

// Trim drops the entries before first.
func (lgs *Log) Trim(first core.Offset) {
	lgs.mut.Lock()
	defer lgs.mut.Unlock()
	first = min(first, lgs.next())
	if first > lgs.first {
		lgs.entries = lgs.entries[first-lgs.first:]
		lgs.first = first
	}
}

// Next returns the offset of the next append.
func (lgs *Log) Next() core.Offset {
	lgs.mut.Lock()
	defer lgs.mut.Unlock()
	return lgs.next()
}

func (lgs *Log) next() core.Offset { return lgs.first + core.Offset(len(lgs.entries)) }

func (lgs *Log) add(id core.RecordID, data []byte) core.Offset {
	off := lgs.next()
	lgs.entries = append(lgs.entries, core.Entry{Offset: off, ID: id, At: lgs.now(), Data: slices.Clone(data)})
	close(lgs.grown)
	lgs.grown = make(chan struct{})
	return off
}

// Since returns the kept entries from an offset on, whatever the faults are.
func (lgs *Log) Since(from core.Offset) []core.Entry {
	lgs.mut.Lock()
	defer lgs.mut.Unlock()
	from = max(from, lgs.first)
	if from >= lgs.next() {
		return nil
	}
	return copies(lgs.entries[from-lgs.first:])
}

func copies(ents []core.Entry) []core.Entry {
	out := slices.Clone(ents)
	for idx := range out {
		out[idx].Data = slices.Clone(out[idx].Data)
	}
	return out
}

// page returns the entries from an offset on, and a channel that is closed at
// the next append.
func (lgs *Log) page(from core.Offset, max int) (core.Page, <-chan struct{}, error) {
	lgs.mut.Lock()
	defer lgs.mut.Unlock()
	if lgs.down {
		return core.Page{}, nil, core.Errorf(core.CodeLogDown, "the log can't be reached")
	}
	pag := core.Page{First: lgs.first, Next: lgs.next()}
	if from < lgs.first {
		return pag, nil, core.Errorf(core.CodeLogGap, "the oldest entry has offset %d, not %d", lgs.first, from)
	}
	if from < pag.Next {
		ents := lgs.entries[from-lgs.first:]
		pag.Entries = copies(ents[:min(max, len(ents))])
	}
	return pag, lgs.grown, nil
}

// Client is one connection to a Log.
type Client struct {
	lgs    *Log
	mut    sync.Mutex
	faults []Fault
	cut    bool
	calls  int
}

var _ core.Log = (*Client)(nil)

// Client returns a new connection.
func (lgs *Log) Client() *Client { return &Client{lgs: lgs} }

// Fail gives the next appends of this client one fault each.
func (cli *Client) Fail(flts ...Fault) {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	cli.faults = append(cli.faults, flts...)
}

// Cut makes the service unreachable for this client, or reachable again.
func (cli *Client) Cut(isCut bool) {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	cli.cut = isCut
}

// Appends returns the number of calls of Append.
func (cli *Client) Appends() int {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	return cli.calls
}

// take returns the fault of this call and whether the service is cut off.
func (cli *Client) take() (Fault, bool) {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	cli.calls++
	if cli.cut || len(cli.faults) == 0 {
		return None, cli.cut
	}
	flt := cli.faults[0]
	cli.faults = cli.faults[1:]
	return flt, false
}

func (cli *Client) isCut() bool {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	return cli.cut
}

// Append appends data as one entry, unless a fault prevents it.
func (cli *Client) Append(ctx context.Context, id core.RecordID, data []byte) (core.Offset, error) {
	if ctx.Err() != nil {
		return 0, core.Errorf(core.CodeLogRefused, "the call had ended before it was made")
	}
	flt, cut := cli.take()
	lgs := cli.lgs
	lgs.mut.Lock()
	defer lgs.mut.Unlock()
	if cut || lgs.down || flt == Refuse {
		return 0, core.Errorf(core.CodeLogRefused, "the append was refused")
	}
	if flt == LoseBefore {
		return 0, core.Errorf(core.CodeLogUnknown, "the answer to the append was lost")
	}
	off := lgs.add(id, data)
	if flt == LoseAfter {
		return 0, core.Errorf(core.CodeLogUnknown, "the answer to the append was lost")
	}
	if flt == Duplicate {
		off = lgs.add(id, data)
	}
	return off, nil
}

// Read returns entries from offset from on and waits for the first.
func (cli *Client) Read(ctx context.Context, from core.Offset, max int, wait time.Duration) (core.Page, error) {
	if cli.isCut() {
		return core.Page{}, core.Errorf(core.CodeLogDown, "the log can't be reached")
	}
	pag, grown, err := cli.lgs.page(from, max)
	if err != nil || len(pag.Entries) > 0 || wait == 0 {
		return pag, err
	}
	tim := time.NewTimer(wait)
	defer tim.Stop()
	select {
	case <-grown:
	case <-tim.C:
	case <-ctx.Done():
	}
	pag, _, err = cli.lgs.page(from, max)
	return pag, err
}
