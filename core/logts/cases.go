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
	readWait    = 5 * time.Second
)

// Fixture is a new, empty log and the functions that inject its faults. A
// function is nil if the fixture does not support the fault.
type Fixture struct {
	Log core.Log
	// Truncate removes all entries except the newest n.
	Truncate func(n int)
	// SetRefusing sets whether the log refuses appends.
	SetRefusing func(on bool)
	// LoseResponses drops the responses to the next n appends after they were
	// executed.
	LoseResponses func(n int)
	// Restore replaces the content by the entries before offset next, as a return
	// from an older copy does.
	Restore func(next core.Offset)
	// SetDown sets whether every call fails.
	SetDown func(on bool)
}

// Case is a conformance test.
type Case struct {
	Name string
	// Supported reports whether the fixture supports the case. It is nil if
	// every fixture does.
	Supported func(f Fixture) bool
	// Run returns an error if the log does not conform to core.Log.
	Run func(ctx context.Context, f Fixture) error
}

// Test runs every case that the fixture supports, each on a new fixture.
func Test(t *testing.T, fixture func(t *testing.T) Fixture) {
	t.Helper()
	for _, tc := range Cases() {
		t.Run(tc.Name, func(t *testing.T) {
			f := fixture(t)
			if tc.Supported != nil && !tc.Supported(f) {
				t.Logf("the fixture does not support the fault of this case")
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			err := tc.Run(ctx, f)
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Cases returns the conformance tests.
func Cases() []Case {
	hasTruncate := func(f Fixture) bool { return f.Truncate != nil }
	hasSetRefusing := func(f Fixture) bool { return f.SetRefusing != nil }
	hasLoseResponses := func(f Fixture) bool { return f.LoseResponses != nil }
	hasRestore := func(f Fixture) bool { return f.Restore != nil }
	hasSetDown := func(f Fixture) bool { return f.SetDown != nil }
	return []Case{
		{Name: "Empty", Run: runEmpty},
		{Name: "OffsetsFollow", Run: runOffsets},
		{Name: "SameIDTwice", Run: runDuplicateID},
		{Name: "MaxAndFrom", Run: runPages},
		{Name: "DataIsCopied", Run: runCopied},
		{Name: "WaitEndsWithEntry", Run: runWait},
		{Name: "WaitEndsWithContext", Run: runCancelled},
		{Name: "RacingAppends", Run: runRacing},
		{Name: "Gap", Supported: hasTruncate, Run: runGap},
		{Name: "Refused", Supported: hasSetRefusing, Run: runRefused},
		{Name: "LostAnswer", Supported: hasLoseResponses, Run: runLostResponse},
		{Name: "Restored", Supported: hasRestore, Run: runRestored},
		{Name: "Down", Supported: hasSetDown, Run: runDown},
	}
}

func appendOne(ctx context.Context, log core.Log, id string, want core.Offset) error {
	offset, err := log.Append(ctx, 0, core.RecordID(id), []byte("data of "+id))
	if err != nil {
		return fmt.Errorf("append of %s: %w", id, err)
	}
	if offset != want {
		return fmt.Errorf("append of %s returned offset %d, want %d", id, offset, want)
	}
	return nil
}

func appendMany(ctx context.Context, log core.Log, count int) error {
	for n := 1; n <= count; n++ {
		err := appendOne(ctx, log, fmt.Sprintf("r%d", n), core.Offset(n))
		if err != nil {
			return err
		}
	}
	return nil
}

// checkRead reads without waiting and compares the page with the expected next
// offset and IDs.
func checkRead(ctx context.Context, log core.Log, from core.Offset, limit int, next core.Offset, ids ...string) error {
	page, err := log.Read(ctx, from, limit, 0)
	if err != nil {
		return fmt.Errorf("read from %d: %w", from, err)
	}
	return checkPage(page, from, next, ids)
}

func checkPage(page core.Page, from, next core.Offset, ids []string) error {
	if page.Next != next {
		return fmt.Errorf("read from %d returned next offset %d, want %d", from, page.Next, next)
	}
	var got []string
	for idx, entry := range page.Entries {
		got = append(got, string(entry.ID))
		if entry.Offset != from+core.Offset(idx) {
			return fmt.Errorf("entry %d of the read from %d has offset %d", idx, from, entry.Offset)
		}
		if string(entry.Data) != "data of "+string(entry.ID) {
			return fmt.Errorf("entry %s has data %q", entry.ID, entry.Data)
		}
		if entry.At.IsZero() {
			return fmt.Errorf("entry %s has no time", entry.ID)
		}
	}
	if !slices.Equal(got, ids) {
		return fmt.Errorf("read from %d returned %q, want %q", from, got, ids)
	}
	return nil
}

func checkCode(operation string, err error, want core.Code) error {
	if err == nil {
		return fmt.Errorf("%s succeeded, want code %d", operation, want)
	}
	if core.CodeOf(err) != want {
		return fmt.Errorf("%s failed with code %d (%w), want %d", operation, core.CodeOf(err), err, want)
	}
	return nil
}

func runEmpty(ctx context.Context, f Fixture) error {
	return checkRead(ctx, f.Log, 1, 10, 1)
}

func runOffsets(ctx context.Context, f Fixture) error {
	err := appendMany(ctx, f.Log, 3)
	if err != nil {
		return err
	}
	return checkRead(ctx, f.Log, 1, 10, 4, "r1", "r2", "r3")
}

// runDuplicateID appends two entries with one ID. The log does not deduplicate.
func runDuplicateID(ctx context.Context, f Fixture) error {
	for n := 1; n <= 2; n++ {
		err := appendOne(ctx, f.Log, "r", core.Offset(n))
		if err != nil {
			return err
		}
	}
	return checkRead(ctx, f.Log, 1, 10, 3, "r", "r")
}

func runPages(ctx context.Context, f Fixture) error {
	err := appendMany(ctx, f.Log, 4)
	if err != nil {
		return err
	}
	for _, page := range []struct {
		from core.Offset
		max  int
		ids  []string
	}{
		{1, 2, []string{"r1", "r2"}},
		{3, 2, []string{"r3", "r4"}},
		{4, 2, []string{"r4"}},
		{5, 2, nil},
	} {
		err = checkRead(ctx, f.Log, page.from, page.max, 5, page.ids...)
		if err != nil {
			return err
		}
	}
	return nil
}

// runCopied modifies the data after the append and after the read. The log must
// not share memory with its callers.
func runCopied(ctx context.Context, f Fixture) error {
	data := []byte("data of r1")
	_, err := f.Log.Append(ctx, 0, "r1", data)
	if err != nil {
		return err
	}
	data[0] = 'X'
	page, err := f.Log.Read(ctx, 1, 1, 0)
	if err != nil {
		return err
	}
	err = checkPage(page, 1, 2, []string{"r1"})
	if err != nil {
		return err
	}
	page.Entries[0].Data[0] = 'Y'
	return checkRead(ctx, f.Log, 1, 1, 2, "r1")
}

func runWait(ctx context.Context, f Fixture) error {
	type result struct {
		pag core.Page
		err error
	}
	got := make(chan result, 1)
	go func() {
		page, err := f.Log.Read(ctx, 1, 10, readWait)
		got <- result{page, err}
	}()
	err := appendOne(ctx, f.Log, "r1", 1)
	if err != nil {
		return err
	}
	res := <-got
	if res.err != nil {
		return res.err
	}
	return checkPage(res.pag, 1, 2, []string{"r1"})
}

func runCancelled(ctx context.Context, f Fixture) error {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	page, err := f.Log.Read(ctx, 1, 10, 2*caseTimeout)
	if err == nil && len(page.Entries) > 0 {
		return fmt.Errorf("read of an empty log returned %d entries", len(page.Entries))
	}
	return nil
}

func runRacing(ctx context.Context, f Fixture) error {
	const writers, each = 4, 8
	var wg sync.WaitGroup
	offsets := make(chan core.Offset, writers*each)
	errs := make(chan error, writers*each)
	for writer := range writers {
		wg.Go(func() {
			for n := range each {
				id := fmt.Sprintf("w%d-%d", writer, n)
				offset, err := f.Log.Append(ctx, 0, core.RecordID(id), []byte("data of "+id))
				offsets <- offset
				errs <- err
			}
		})
	}
	wg.Wait()
	close(offsets)
	seen := core.NewSet[core.Offset]()
	for offset := range offsets {
		err := <-errs
		if err != nil {
			return err
		}
		seen.Add(offset)
	}
	if seen.Len() != writers*each || !seen.Has(1) || !seen.Has(writers*each) {
		return fmt.Errorf("concurrent appends returned offsets %v", seen.Sorted())
	}
	return nil
}

func runGap(ctx context.Context, f Fixture) error {
	err := appendMany(ctx, f.Log, 5)
	if err != nil {
		return err
	}
	f.Truncate(2)
	page, err := f.Log.Read(ctx, 3, 10, 0)
	err = checkCode("read of a removed entry", err, core.CodeLogGap)
	if err != nil {
		return err
	}
	if page.First != 4 {
		return fmt.Errorf("oldest retained offset is %d, want 4", page.First)
	}
	err = checkRead(ctx, f.Log, 4, 10, 6, "r4", "r5")
	if err != nil {
		return err
	}
	return appendOne(ctx, f.Log, "r6", 6)
}

func runRefused(ctx context.Context, f Fixture) error {
	f.SetRefusing(true)
	_, err := f.Log.Append(ctx, 0, "r1", nil)
	err = checkCode("refused append", err, core.CodeLogRefused)
	if err != nil {
		return err
	}
	f.SetRefusing(false)
	err = checkRead(ctx, f.Log, 1, 10, 1)
	if err != nil {
		return err
	}
	return appendOne(ctx, f.Log, "r1", 1)
}

// runLostResponse checks that the outcome of an append without response is
// unknown and that the implementation does not retry the append.
func runLostResponse(ctx context.Context, f Fixture) error {
	f.LoseResponses(1)
	_, err := f.Log.Append(ctx, 0, "r1", []byte("data of r1"))
	err = checkCode("append without response", err, core.CodeLogUnknown)
	if err != nil {
		return err
	}
	err = checkRead(ctx, f.Log, 1, 10, 2, "r1")
	if err != nil {
		return err
	}
	return appendOne(ctx, f.Log, "r2", 2)
}

// runRestored checks that a return from an older copy begins a later era, in which
// appends that name another one are refused.
func runRestored(ctx context.Context, f Fixture) error {
	err := appendMany(ctx, f.Log, 3)
	if err != nil {
		return err
	}
	former, err := f.Log.Read(ctx, 1, 10, 0)
	if err != nil {
		return fmt.Errorf("read before the return: %w", err)
	}
	f.Restore(2)
	page, err := f.Log.Read(ctx, 1, 10, 0)
	if err != nil {
		return fmt.Errorf("read after the return: %w", err)
	}
	if former.Era == 0 || page.Era <= former.Era {
		return fmt.Errorf("era %d follows era %d", page.Era, former.Era)
	}
	_, err = f.Log.Append(ctx, former.Era, "r2", nil)
	err = checkCode("append for an earlier era", err, core.CodeLogRefused)
	if err != nil {
		return err
	}
	for _, era := range []core.Era{page.Era, 0} {
		_, err = f.Log.Append(ctx, era, "r4", []byte("data of r4"))
		if err != nil {
			return fmt.Errorf("append for era %d: %w", era, err)
		}
	}
	return checkRead(ctx, f.Log, 1, 10, 4, "r1", "r4", "r4")
}

func runDown(ctx context.Context, f Fixture) error {
	err := appendOne(ctx, f.Log, "r1", 1)
	if err != nil {
		return err
	}
	f.SetDown(true)
	_, err = f.Log.Read(ctx, 1, 10, 0)
	err = checkCode("read while down", err, core.CodeLogDown)
	if err != nil {
		return err
	}
	_, err = f.Log.Append(ctx, 0, "r2", []byte("data of r2"))
	code := core.CodeOf(err)
	if code != core.CodeLogUnknown && code != core.CodeLogRefused {
		return fmt.Errorf("append while down failed with code %d (%v)", code, err)
	}
	f.SetDown(false)
	return checkRead(ctx, f.Log, 1, 10, 2, "r1")
}
