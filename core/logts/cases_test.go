package logts_test

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/logts"
)

// flaw is a way in which a memory log does not conform.
type flaw int

const (
	flawNone flaw = iota
	flawDropSameID
	flawShareData
	flawIgnoreMax
	flawHideGap
	flawAppendRefused
	flawCallLostRefused
	flawRepeatLost
	flawSkipOffset
	flawDownLooksEmpty
)

// memory is a log in memory with at most one flaw.
type memory struct {
	mtx     sync.Mutex
	flaw    flaw
	entries []core.Entry
	first   core.Offset
	next    core.Offset
	lose    int
	refuse  bool
	down    bool
	grown   chan struct{}
}

var _ core.Log = (*memory)(nil)

func newFixture(flw flaw) logts.Fixture {
	mem := &memory{flaw: flw, first: 1, next: 1, grown: make(chan struct{})}
	return logts.Fixture{
		Log: mem,
		Keep: func(num int) {
			drop := len(mem.entries) - num
			mem.entries = mem.entries[drop:]
			mem.first += core.Offset(drop)
		},
		Refuse:      func(on bool) { mem.refuse = on },
		LoseAnswers: func(num int) { mem.lose = num },
		Down:        func(on bool) { mem.down = on },
	}
}

func (mem *memory) put(id core.RecordID, data []byte) core.Offset {
	if mem.flaw != flawShareData {
		data = bytes.Clone(data)
	}
	off := mem.next
	mem.next++
	if mem.flaw == flawSkipOffset {
		mem.next++
	}
	mem.entries = append(mem.entries, core.Entry{Offset: off, ID: id, At: time.Unix(1, 0), Data: data})
	close(mem.grown)
	mem.grown = make(chan struct{})
	return off
}

func (mem *memory) Append(_ context.Context, id core.RecordID, data []byte) (core.Offset, error) {
	mem.mtx.Lock()
	defer mem.mtx.Unlock()
	if mem.down {
		return 0, core.Errorf(core.CodeLogUnknown, "down")
	}
	if mem.refuse {
		if mem.flaw == flawAppendRefused {
			mem.put(id, data)
		}
		return 0, core.Errorf(core.CodeLogRefused, "refused")
	}
	if mem.flaw == flawDropSameID && slices.ContainsFunc(mem.entries, func(ent core.Entry) bool { return ent.ID == id }) {
		return mem.next - 1, nil
	}
	off := mem.put(id, data)
	if mem.lose == 0 {
		return off, nil
	}
	mem.lose--
	switch mem.flaw {
	case flawCallLostRefused:
		return 0, core.Errorf(core.CodeLogRefused, "lost")
	case flawRepeatLost:
		mem.put(id, data)
	}
	return 0, core.Errorf(core.CodeLogUnknown, "lost")
}

func (mem *memory) page(from core.Offset, limit int) (core.Page, <-chan struct{}, error) {
	mem.mtx.Lock()
	defer mem.mtx.Unlock()
	pag := core.Page{First: mem.first, Next: mem.next}
	if mem.down && mem.flaw != flawDownLooksEmpty {
		return core.Page{}, nil, core.Errorf(core.CodeLogDown, "down")
	}
	if from < mem.first && mem.flaw != flawHideGap {
		return pag, nil, core.Errorf(core.CodeLogGap, "gap")
	}
	for _, ent := range mem.entries {
		if ent.Offset >= from && (len(pag.Entries) < limit || mem.flaw == flawIgnoreMax) {
			if mem.flaw != flawShareData {
				ent.Data = bytes.Clone(ent.Data)
			}
			pag.Entries = append(pag.Entries, ent)
		}
	}
	return pag, mem.grown, nil
}

func (mem *memory) Read(ctx context.Context, from core.Offset, limit int, wait time.Duration) (core.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		pag, grown, err := mem.page(from, limit)
		if err != nil || len(pag.Entries) > 0 || wait == 0 {
			return pag, err
		}
		select {
		case <-ctx.Done():
			return pag, nil
		case <-grown:
		}
	}
}

func TestMemoryConforms(t *testing.T) {
	logts.Test(t, func(*testing.T) logts.Fixture { return newFixture(flawNone) })
}

func TestFlawsAreFound(t *testing.T) {
	for flw, want := range map[flaw]string{
		flawDropSameID:      "SameIDTwice",
		flawShareData:       "DataIsCopied",
		flawIgnoreMax:       "MaxAndFrom",
		flawHideGap:         "Gap",
		flawAppendRefused:   "Refused",
		flawCallLostRefused: "LostAnswer",
		flawRepeatLost:      "LostAnswer",
		flawSkipOffset:      "OffsetsFollow",
		flawDownLooksEmpty:  "Down",
	} {
		t.Run(want, func(t *testing.T) {
			for _, cas := range logts.Cases() {
				if cas.Name == want {
					assert.Assert(t, cas.Run(context.Background(), newFixture(flw)) != nil)
				}
			}
		})
	}
}
