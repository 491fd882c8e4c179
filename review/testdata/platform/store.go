package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic. A record without a value removes its key.
type record struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's metadata store: keyed topics with one
// partition, conditional appends, long polls and the newest record of each key.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// delay is added to each answer, except to those of long polls.
	delay time.Duration
}

func newStore(delay time.Duration) *store {
	return &store{topics: map[string][]record{}, changed: make(chan struct{}), delay: delay}
}

// serve answers calls on lis until it is closed.
func (st *store) serve(lis net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", st.handleAppend)
	mux.HandleFunc("GET /-/log-read", st.handleRead)
	mux.HandleFunc("GET /-/log-newest", st.handleNewest)
	_ = (&http.Server{Handler: mux}).Serve(lis)
}

// put appends a record and returns its offset.
func (st *store) put(topic, key string, value []byte) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.putLocked(topic, key, value)
}

func (st *store) putLocked(topic, key string, value []byte) int64 {
	st.topics[topic] = append(st.topics[topic], record{key: key, value: value})
	close(st.changed)
	st.changed = make(chan struct{})
	return int64(len(st.topics[topic])) - 1
}

func (st *store) handleAppend(rw http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil || len(raw) < 5 || len(raw) < 5+int(raw[4]) {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(st.delay)
	st.mu.Lock()
	defer st.mu.Unlock()
	topic := req.URL.Query().Get("topic")
	end := int64(len(st.topics[topic]))
	if txt := req.URL.Query().Get("asOf"); txt != "" && txt != strconv.FormatInt(end, 10) {
		rw.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(rw).Encode(map[string]int64{"end": end})
		return
	}
	keyEnd := 5 + int(raw[4])
	off := st.putLocked(topic, string(raw[5:keyEnd]), append([]byte(nil), raw[keyEnd:]...))
	_ = json.NewEncoder(rw).Encode(map[string]int64{"offset": off, "end": off + 1})
}

func (st *store) handleRead(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		st.mu.Lock()
		recs, changed := st.topics[query.Get("topic")], st.changed
		st.mu.Unlock()
		if from > len(recs) {
			rw.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(rw).Encode(map[string]int64{"first": 0})
			return
		}
		if from < len(recs) {
			_, _ = rw.Write(encodeRecords(recs[from:], len(recs)))
			return
		}
		select {
		case <-changed:
		case <-timer:
			_, _ = rw.Write(encodeRecords(nil, len(recs)))
			return
		case <-req.Context().Done():
			return
		}
	}
}

func encodeRecords(recs []record, end int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range recs {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	return out
}

// pageSize is the largest number of records in an answer of the newest records.
const pageSize = 500

func (st *store) handleNewest(rw http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	time.Sleep(st.delay)
	st.mu.Lock()
	recs := st.topics[req.URL.Query().Get("topic")]
	st.mu.Unlock()
	newest := map[string]item{}
	for off, rec := range recs {
		delete(newest, rec.key)
		if len(rec.value) > 0 {
			newest[rec.key] = item{Key: rec.key, Value: base64.StdEncoding.EncodeToString(rec.value), Offset: off}
		}
	}
	items := []item{}
	for key, itm := range newest {
		if key > req.URL.Query().Get("after") {
			items = append(items, itm)
		}
	}
	sort.Slice(items, func(one, two int) bool { return items[one].Key < items[two].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"items": items, "hasMore": more, "end": len(recs)})
}
