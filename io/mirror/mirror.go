package mirror

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"kumquathinge/io/peer"
)

const procedure = "/kumquathinge.Mirror/Fetch"

// FetchRequest asks for the records of a topic from an offset on.
type FetchRequest struct {
	Topic string `cbor:"1,keyasint"`
	From  int64  `cbor:"2,keyasint"`
}

// Record is the newest record of a key. One without a value ends the key.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
	Offset int64  `cbor:"3,keyasint"`
}

// Page holds the newest records of the keys that changed, in order of their
// offsets, and the offset up to which they are complete.
type Page struct {
	Records []Record `cbor:"1,keyasint"`
	End     int64    `cbor:"2,keyasint"`
}

// Source is what a node knows of the topics.
type Source interface {
	// Page returns the page for an Ask; ok is false for an unknown topic.
	Page(req FetchRequest) (page Page, ok bool)
}

const (
	// MaxPageBytes is the size of the values of a page, in bytes: 20 ms of a link of
	// 50 Mbit/s.
	MaxPageBytes = 128 << 10
	// maxConcurrentFetches is the number of pages that a node sends at a time. When many
	// nodes start at once, those that are turned away ask a node that has
	// caught up meanwhile.
	maxConcurrentFetches = 4
)

// BuildPage returns the page of records that are complete up to the offset end. One
// that is larger than size is cut, and ends before the records left out.
func BuildPage(recs []Record, end int64, maxBytes int) Page {
	slices.SortFunc(recs, func(one, two Record) int { return cmp.Compare(one.Offset, two.Offset) })
	total := 0
	for idx, rec := range recs {
		total += len(rec.Key) + len(rec.Value)
		if idx > 0 && total > maxBytes && rec.Offset > recs[idx-1].Offset {
			return Page{Records: recs[:idx], End: rec.Offset}
		}
	}
	return Page{Records: recs, End: end}
}

// Handler returns the handler that serves src to other nodes.
func Handler(src Source) http.Handler {
	mux := http.NewServeMux()
	slots := make(chan struct{}, maxConcurrentFetches)
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, func(_ context.Context, req *connect.Request[FetchRequest]) (*connect.Response[Page], error) {
		select {
		case slots <- struct{}{}:
		default:
			return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
		}
		defer func() { <-slots }()
		page, ok := src.Page(*req.Msg)
		if !ok {
			return nil, connect.NewError(connect.CodeNotFound, errUnknownTopic)
		}
		return connect.NewResponse(&page), nil
	}, connect.WithCodec(peer.Codec())))
	return mux
}

// Client reads from other nodes. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
}

// NewClient returns a client whose connections are opened within the bound.
func NewClient(dialTimeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{httpClient: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// Fetch asks the node at addr, in the form host:port.
func (client *Client) Fetch(ctx context.Context, addr string, req FetchRequest) (Page, error) {
	rpc := connect.NewClient[FetchRequest, Page](client.httpClient, "http://"+addr+procedure, connect.WithCodec(peer.Codec()))
	resp, err := rpc.CallUnary(ctx, connect.NewRequest(&req))
	if err != nil {
		return Page{}, err
	}
	return *resp.Msg, nil
}
