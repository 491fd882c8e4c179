package logts

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"kumquathinge/core"
)

const (
	caseTimeout = 10 * time.Second
	longWait    = 5 * time.Second
)

// Fixture is a new, empty log and its faults. A fault that is nil can't be
// brought about.
type Fixture struct {
	Log core.Log
	// Keep drops all entries but the newest n.
	Keep func(n int)
	// Refuse turns refusals of appends on or off.
	Refuse func(on bool)
	// LoseAnswers loses the answers to the next n appends after they took
	// effect.
	LoseAnswers func(n int)
	// Down turns the failure of every call on or off.
	Down func(on bool)
}

// Case is one conformance test.
type Case struct {
	Name string
	// Needs reports whether the fixture can run the case; nil if every
	// fixture can.
	Needs func(fix Fixture) bool
	// Run returns an error if the log does not conform.
	Run func(ctx context.Context, fix Fixture) error
}

// Test runs every case that the fixture can run.
func Test(t *testing.T, fixture func(t *testing.T) Fixture) {
	t.Helper()
	for _, cas := range Cases() {
		t.Run(cas.Name, func(t *testing.T) {
			fix := fixture(t)
			if cas.Needs != nil && !cas.Needs(fix) {
				t.Logf("the fixture has no such fault")
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			err := cas.Run(ctx, fix)
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Cases returns the conformance tests.
func Cases() []Case {
	hasKeep := func(fix Fixture) bool { return fix.Keep != nil }
	hasRefuse := func(fix Fixture) bool { return fix.Refuse != nil }
	hasLose := func(fix Fixture) bool { return fix.LoseAnswers != nil }
	hasDown := func(fix Fixture) bool { return fix.Down != nil }
	return []Case{
		{Name: "Empty", Run: runEmpty},
		{Name: "OffsetsFollow", Run: runOffsets},
		{Name: "SameIDTwice", Run: runSameID},
		{Name: "MaxAndFrom", Run: runPages},
		{Name: "DataIsCopied", Run: runCopied},
		{Name: "WaitEndsWithEntry", Run: runWait},
		{Name: "WaitEndsWithContext", Run: runCancelled},
		{Name: "RacingAppends", Run: runRacing},
		{Name: "Gap", Needs: hasKeep, Run: runGap},
		{Name: "Refused", Needs: hasRefuse, Run: runRefused},
		{Name: "LostAnswer", Needs: hasLose, Run: runLost},
		{Name: "Down", Needs: hasDown, Run: runDown},
	}
}

func appendOne(ctx context.Context, log core.Log, id string, want core.Offset) error {
	off, err := log.Append(ctx, core.RecordID(id), []byte("data of "+id))
	if err != nil {
		return fmt.Errorf("append of %s: %w", id, err)
	}
	if off != want {
		return fmt.Errorf("append of %s got offset %d, want %d", id, off, want)
	}
	return nil
}

func fill(ctx context.Context, log core.Log, count int) error {
	for num := 1; num <= count; num++ {
		err := appendOne(ctx, log, fmt.Sprintf("r%d", num), core.Offset(num))
		if err != nil {
			return err
		}
	}
	return nil
}

// read reads without waiting and compares the page with the IDs and bounds.
func read(ctx context.Context, log core.Log, from core.Offset, limit int, next core.Offset, ids ...string) error {
	pag, err := log.Read(ctx, from, limit, 0)
	if err != nil {
		return fmt.Errorf("read from %d: %w", from, err)
	}
	return checkPage(pag, from, next, ids)
}

func checkPage(pag core.Page, from, next core.Offset, ids []string) error {
	if pag.Next != next {
		return fmt.Errorf("read from %d says next is %d, want %d", from, pag.Next, next)
	}
	var got []string
	for idx, ent := range pag.Entries {
		got = append(got, string(ent.ID))
		if ent.Offset != from+core.Offset(idx) {
			return fmt.Errorf("entry %d of the read from %d has offset %d", idx, from, ent.Offset)
		}
		if string(ent.Data) != "data of "+string(ent.ID) {
			return fmt.Errorf("entry %s holds %q", ent.ID, ent.Data)
		}
		if ent.At.IsZero() {
			return fmt.Errorf("entry %s has no time", ent.ID)
		}
	}
	if !slices.Equal(got, ids) {
		return fmt.Errorf("read from %d got %q, want %q", from, got, ids)
	}
	return nil
}

func wantCode(what string, err error, want core.Code) error {
	if err == nil {
		return fmt.Errorf("%s succeeded, want code %d", what, want)
	}
	if core.CodeOf(err) != want {
		return fmt.Errorf("%s failed with code %d (%w), want %d", what, core.CodeOf(err), err, want)
	}
	return nil
}

func runEmpty(ctx context.Context, fix Fixture) error {
	return read(ctx, fix.Log, 1, 10, 1)
}

func runOffsets(ctx context.Context, fix Fixture) error {
	err := fill(ctx, fix.Log, 3)
	if err != nil {
		return err
	}
	return read(ctx, fix.Log, 1, 10, 4, "r1", "r2", "r3")
}

// runSameID appends one ID twice: the log does not look at IDs.
func runSameID(ctx context.Context, fix Fixture) error {
	for num := 1; num <= 2; num++ {
		err := appendOne(ctx, fix.Log, "r", core.Offset(num))
		if err != nil {
			return err
		}
	}
	return read(ctx, fix.Log, 1, 10, 3, "r", "r")
}

func runPages(ctx context.Context, fix Fixture) error {
	err := fill(ctx, fix.Log, 4)
	if err != nil {
		return err
	}
	for _, pag := range []struct {
		from core.Offset
		max  int
		ids  []string
	}{
		{1, 2, []string{"r1", "r2"}},
		{3, 2, []string{"r3", "r4"}},
		{4, 2, []string{"r4"}},
		{5, 2, nil},
	} {
		err = read(ctx, fix.Log, pag.from, pag.max, 5, pag.ids...)
		if err != nil {
			return err
		}
	}
	return nil
}

// runCopied changes a caller's data after the append and after the read.
func runCopied(ctx context.Context, fix Fixture) error {
	data := []byte("data of r1")
	_, err := fix.Log.Append(ctx, "r1", data)
	if err != nil {
		return err
	}
	data[0] = 'X'
	pag, err := fix.Log.Read(ctx, 1, 1, 0)
	if err != nil {
		return err
	}
	err = checkPage(pag, 1, 2, []string{"r1"})
	if err != nil {
		return err
	}
	pag.Entries[0].Data[0] = 'Y'
	return read(ctx, fix.Log, 1, 1, 2, "r1")
}

func runWait(ctx context.Context, fix Fixture) error {
	type answer struct {
		pag core.Page
		err error
	}
	got := make(chan answer, 1)
	go func() {
		pag, err := fix.Log.Read(ctx, 1, 10, longWait)
		got <- answer{pag, err}
	}()
	err := appendOne(ctx, fix.Log, "r1", 1)
	if err != nil {
		return err
	}
	ans := <-got
	if ans.err != nil {
		return ans.err
	}
	return checkPage(ans.pag, 1, 2, []string{"r1"})
}

func runCancelled(ctx context.Context, fix Fixture) error {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	pag, err := fix.Log.Read(ctx, 1, 10, 2*caseTimeout)
	if err == nil && len(pag.Entries) > 0 {
		return fmt.Errorf("read of an empty log returned %d entries", len(pag.Entries))
	}
	return nil
}

func runRacing(ctx context.Context, fix Fixture) error {
	const writers, each = 4, 8
	var grp sync.WaitGroup
	offs := make(chan core.Offset, writers*each)
	errs := make(chan error, writers*each)
	for wri := range writers {
		grp.Go(func() {
			for num := range each {
				id := fmt.Sprintf("w%d-%d", wri, num)
				off, err := fix.Log.Append(ctx, core.RecordID(id), []byte("data of "+id))
				offs <- off
				errs <- err
			}
		})
	}
	grp.Wait()
	close(offs)
	seen := core.NewSet[core.Offset]()
	for off := range offs {
		err := <-errs
		if err != nil {
			return err
		}
		seen.Add(off)
	}
	if seen.Len() != writers*each || !seen.Has(1) || !seen.Has(writers*each) {
		return fmt.Errorf("racing appends got offsets %v", seen.Sorted())
	}
	return nil
}

func runGap(ctx context.Context, fix Fixture) error {
	err := fill(ctx, fix.Log, 5)
	if err != nil {
		return err
	}
	fix.Keep(2)
	pag, err := fix.Log.Read(ctx, 3, 10, 0)
	err = wantCode("read of a dropped entry", err, core.CodeLogGap)
	if err != nil {
		return err
	}
	if pag.First != 4 {
		return fmt.Errorf("oldest kept entry is told as %d, want 4", pag.First)
	}
	err = read(ctx, fix.Log, 4, 10, 6, "r4", "r5")
	if err != nil {
		return err
	}
	return appendOne(ctx, fix.Log, "r6", 6)
}

func runRefused(ctx context.Context, fix Fixture) error {
	fix.Refuse(true)
	_, err := fix.Log.Append(ctx, "r1", nil)
	err = wantCode("refused append", err, core.CodeLogRefused)
	if err != nil {
		return err
	}
	fix.Refuse(false)
	err = read(ctx, fix.Log, 1, 10, 1)
	if err != nil {
		return err
	}
	return appendOne(ctx, fix.Log, "r1", 1)
}

// runLost checks that a lost answer is unknown and that the log did not
// append again by itself.
func runLost(ctx context.Context, fix Fixture) error {
	fix.LoseAnswers(1)
	_, err := fix.Log.Append(ctx, "r1", []byte("data of r1"))
	err = wantCode("append without answer", err, core.CodeLogUnknown)
	if err != nil {
		return err
	}
	err = read(ctx, fix.Log, 1, 10, 2, "r1")
	if err != nil {
		return err
	}
	return appendOne(ctx, fix.Log, "r2", 2)
}

func runDown(ctx context.Context, fix Fixture) error {
	err := appendOne(ctx, fix.Log, "r1", 1)
	if err != nil {
		return err
	}
	fix.Down(true)
	_, err = fix.Log.Read(ctx, 1, 10, 0)
	err = wantCode("read while down", err, core.CodeLogDown)
	if err != nil {
		return err
	}
	_, err = fix.Log.Append(ctx, "r2", []byte("data of r2"))
	cod := core.CodeOf(err)
	if cod != core.CodeLogUnknown && cod != core.CodeLogRefused {
		return fmt.Errorf("append while down failed with code %d (%v)", cod, err)
	}
	fix.Down(false)
	return read(ctx, fix.Log, 1, 10, 2, "r1")
}
