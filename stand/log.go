package stand

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"kumquathinge/core"
)

const (
	maxEntryBytes = 16 << 20
	maxReadCount  = 1000
)

// LogFault holds the faults of a Log.
type LogFault struct {
	Fault
	// Retention is the number of newest entries to keep. Zero keeps all.
	Retention int `json:"retention,omitempty"`
}

// LogEntry is an entry in the JSON format of the log service.
type LogEntry struct {
	Offset core.Offset   `json:"offset"`
	ID     core.RecordID `json:"id"`
	At     time.Time     `json:"at"`
	Data   []byte        `json:"data"`
}

// LogPage is the log service's response to a read.
type LogPage struct {
	First   core.Offset `json:"first"`
	Next    core.Offset `json:"next"`
	Era     core.Era    `json:"era,omitempty"`
	Entries []LogEntry  `json:"entries,omitempty"`
}

type appendedBody struct {
	Offset core.Offset `json:"offset"`
}

// Log is a stand-in of the log service. It stores its entries in memory.
type Log struct {
	*base[LogFault]
	era        core.Era
	first      core.Offset
	entries    []LogEntry
	entryAdded chan struct{}
}

// NewLog returns an empty log that states era 1.
func NewLog() *Log {
	log := &Log{base: newBase[LogFault](), era: 1, first: 1, entryAdded: make(chan struct{})}
	log.onFaultSet = func(LogFault) { log.trim() }
	log.mux.HandleFunc("POST /v1/append", log.serveAppend)
	log.mux.HandleFunc("GET /v1/read", log.serveRead)
	return log
}

// Next returns the offset of the next entry to be appended.
func (log *Log) Next() core.Offset {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.next()
}

// Restore makes the log come back from a copy that ends before offset next, which
// begins another era.
func (log *Log) Restore(next core.Offset) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.era++
	log.entries = log.entries[:max(next, log.first)-log.first]
}

func (log *Log) next() core.Offset { return log.first + core.Offset(len(log.entries)) }

func (log *Log) serveAppend(rw http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, maxEntryBytes))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	era, err := queryUint(req, "era")
	if err != nil {
		http.Error(rw, "era is a number", http.StatusBadRequest)
		return
	}
	offset, ok := log.append(core.Era(era), core.RecordID(req.URL.Query().Get("id")), data)
	if !ok {
		writeRefusal(rw)
		return
	}
	log.loseResponse()
	writeJSON(rw, http.StatusOK, appendedBody{Offset: offset})
}

// append returns false if the log refuses appends or is in another era than the
// given one. Era zero matches every era.
func (log *Log) append(era core.Era, id core.RecordID, data []byte) (core.Offset, bool) {
	log.mu.Lock()
	if log.fault.Refuse || era != 0 && era != log.era {
		log.mu.Unlock()
		return 0, false
	}
	offset := log.next()
	entry := LogEntry{Offset: offset, ID: id, At: time.Now().UTC(), Data: data}
	log.entries = append(log.entries, entry)
	close(log.entryAdded)
	log.entryAdded = make(chan struct{})
	log.mu.Unlock()
	log.trim()
	return offset, true
}

func (log *Log) trim() {
	log.mu.Lock()
	defer log.mu.Unlock()
	drop := len(log.entries) - log.fault.Retention
	if log.fault.Retention <= 0 || drop <= 0 {
		return
	}
	log.entries = append([]LogEntry(nil), log.entries[drop:]...)
	log.first += core.Offset(drop)
}

func (log *Log) serveRead(rw http.ResponseWriter, req *http.Request) {
	from, errFrom := queryUint(req, "from")
	limit, errLimit := queryUint(req, "max")
	wait, errWait := queryUint(req, "wait_ms")
	if errFrom != nil || errLimit != nil || errWait != nil {
		http.Error(rw, "from, max and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	if limit == 0 || limit > maxReadCount {
		limit = maxReadCount
	}
	maxWait := time.Duration(wait) * time.Millisecond
	page, ok := log.read(req.Context(), core.Offset(from), int(limit), maxWait)
	if !log.waitWhileSilent(req.Context()) || log.Fault().Down {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		writeJSON(rw, http.StatusGone, page)
		return
	}
	writeJSON(rw, http.StatusOK, page)
}

func (log *Log) read(ctx context.Context, from core.Offset, limit int, wait time.Duration) (LogPage, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		page, entryAdded, ok := log.page(from, limit)
		if !ok || len(page.Entries) > 0 || wait <= 0 {
			return page, ok
		}
		select {
		case <-ctx.Done():
			return page, true
		case <-log.done:
			return page, true
		case <-entryAdded:
		}
	}
}

func (log *Log) page(from core.Offset, limit int) (LogPage, <-chan struct{}, bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	page := LogPage{First: log.first, Next: log.next(), Era: log.era}
	from = max(from, 1)
	if from < log.first {
		return page, nil, false
	}
	if from < page.Next {
		rest := log.entries[from-log.first:]
		page.Entries = append(page.Entries, rest[:min(limit, len(rest))]...)
	}
	return page, log.entryAdded, true
}

func queryUint(req *http.Request, name string) (uint64, error) {
	text := req.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
