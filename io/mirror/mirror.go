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

// FetchRequest requests the records of a topic from the offset From on.
type FetchRequest struct {
	Topic string `cbor:"1,keyasint"`
	From  int64  `cbor:"2,keyasint"`
}

// Record is the newest record of a key. An empty value deletes the key.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint"`
	Offset int64  `cbor:"3,keyasint"`
}

// Page holds the newest record of each changed key, ordered by offset. It is
// complete up to the offset End, exclusive.
type Page struct {
	Records []Record `cbor:"1,keyasint"`
	End     int64    `cbor:"2,keyasint"`
}

// Source provides a node's copy of the topics.
type Source interface {
	// Page returns the page for a request; ok is false if the topic is unknown.
	Page(req FetchRequest) (page Page, ok bool)
}

const (
	// MaxPageBytes limits the keys and values of a page, in bytes. A full page
	// takes 20 ms on a link of 50 Mbit/s.
	MaxPageBytes = 128 << 10
	// maxConcurrentFetches limits the fetches that a node serves concurrently.
	// When many nodes start at once, the rejected ones retry with a node that has
	// caught up in the meantime.
	maxConcurrentFetches = 4
)

// BuildPage returns a page of recs, which are complete up to the offset end. A
// page of more than maxBytes is truncated and ends at the first omitted record.
// The page has at least one record if recs does, whatever its size. BuildPage
// sorts recs in place.
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

// Handler returns an HTTP handler that serves src to other nodes.
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

// Client fetches pages from other nodes. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
}

// NewClient returns a client that opens connections within dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{httpClient: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// Fetch requests a page from the node at addr, which has the form host:port.
func (client *Client) Fetch(ctx context.Context, addr string, req FetchRequest) (Page, error) {
	rpc := connect.NewClient[FetchRequest, Page](client.httpClient, "http://"+addr+procedure, connect.WithCodec(peer.Codec()))
	resp, err := rpc.CallUnary(ctx, connect.NewRequest(&req))
	if err != nil {
		return Page{}, err
	}
	return *resp.Msg, nil
}
