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
	// Retention is the number of newest entries that are kept. Zero keeps
	// all.
	Retention int `json:"retention,omitempty"`
}

// LogEntry is an entry as the log service writes it.
type LogEntry struct {
	Offset core.Offset   `json:"offset"`
	ID     core.RecordID `json:"id"`
	At     time.Time     `json:"at"`
	Data   []byte        `json:"data"`
}

// LogPage is the log service's answer to a read.
type LogPage struct {
	First   core.Offset `json:"first"`
	Next    core.Offset `json:"next"`
	Entries []LogEntry  `json:"entries,omitempty"`
}

type appended struct {
	Offset core.Offset `json:"offset"`
}

// Log is a stand-in of the log service. It keeps its entries in memory.
type Log struct {
	*base[LogFault]
	first   core.Offset
	entries []LogEntry
	grown   chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	log := &Log{base: newBase[LogFault](), first: 1, grown: make(chan struct{})}
	log.onFault = func(LogFault) { log.trim() }
	log.mux.HandleFunc("POST /v1/append", log.serveAppend)
	log.mux.HandleFunc("GET /v1/read", log.serveRead)
	return log
}

// Next returns the offset that the next entry will get.
func (log *Log) Next() core.Offset {
	log.mtx.Lock()
	defer log.mtx.Unlock()
	return log.next()
}

func (log *Log) next() core.Offset { return log.first + core.Offset(len(log.entries)) }

func (log *Log) serveAppend(wri http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, maxEntryBytes))
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	if log.Fault().Refuse {
		refuse(wri)
		return
	}
	off := log.append(core.RecordID(req.URL.Query().Get("id")), data)
	log.loseAnswer()
	reply(wri, http.StatusOK, appended{Offset: off})
}

func (log *Log) append(id core.RecordID, data []byte) core.Offset {
	log.mtx.Lock()
	off := log.next()
	ent := LogEntry{Offset: off, ID: id, At: time.Now().UTC(), Data: data}
	log.entries = append(log.entries, ent)
	close(log.grown)
	log.grown = make(chan struct{})
	log.mtx.Unlock()
	log.trim()
	return off
}

func (log *Log) trim() {
	log.mtx.Lock()
	defer log.mtx.Unlock()
	drop := len(log.entries) - log.fault.Retention
	if log.fault.Retention <= 0 || drop <= 0 {
		return
	}
	log.entries = append([]LogEntry(nil), log.entries[drop:]...)
	log.first += core.Offset(drop)
}

func (log *Log) serveRead(wri http.ResponseWriter, req *http.Request) {
	from, errFrom := queryUint(req, "from")
	limit, errMax := queryUint(req, "max")
	wait, errWait := queryUint(req, "wait_ms")
	if errFrom != nil || errMax != nil || errWait != nil {
		http.Error(wri, "from, max and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	if limit == 0 || limit > maxReadCount {
		limit = maxReadCount
	}
	dur := time.Duration(wait) * time.Millisecond
	pag, ok := log.read(req.Context(), core.Offset(from), int(limit), dur)
	if !log.hold(req.Context()) || log.Fault().Down {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		reply(wri, http.StatusGone, pag)
		return
	}
	reply(wri, http.StatusOK, pag)
}

func (log *Log) read(ctx context.Context, from core.Offset, limit int, wait time.Duration) (LogPage, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		pag, grown, ok := log.page(from, limit)
		if !ok || len(pag.Entries) > 0 || wait <= 0 {
			return pag, ok
		}
		select {
		case <-ctx.Done():
			return pag, true
		case <-log.done:
			return pag, true
		case <-grown:
		}
	}
}

func (log *Log) page(from core.Offset, limit int) (LogPage, <-chan struct{}, bool) {
	log.mtx.Lock()
	defer log.mtx.Unlock()
	pag := LogPage{First: log.first, Next: log.next()}
	from = max(from, 1)
	if from < log.first {
		return pag, nil, false
	}
	if from < pag.Next {
		rest := log.entries[from-log.first:]
		pag.Entries = append(pag.Entries, rest[:min(limit, len(rest))]...)
	}
	return pag, log.grown, true
}

func queryUint(req *http.Request, name string) (uint64, error) {
	txt := req.URL.Query().Get(name)
	if txt == "" {
		return 0, nil
	}
	return strconv.ParseUint(txt, 10, 64)
}
