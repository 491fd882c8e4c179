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

// Ask asks for the records of a topic from an offset on.
type Ask struct {
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
	Page(ask Ask) (pag Page, ok bool)
}

const (
	// MaxPage is the size of the values of a page, in bytes: 20 ms of a link of
	// 50 Mbit/s.
	MaxPage = 128 << 10
	// maxFetches is the number of pages that a node sends at a time. When many
	// nodes start at once, those that are turned away ask a node that has
	// caught up meanwhile.
	maxFetches = 4
)

// Cut returns the page of records that are complete up to the offset end. One
// that is larger than size is cut, and ends before the records left out.
func Cut(recs []Record, end int64, size int) Page {
	slices.SortFunc(recs, func(one, two Record) int { return cmp.Compare(one.Offset, two.Offset) })
	sum := 0
	for idx, rec := range recs {
		sum += len(rec.Key) + len(rec.Value)
		if idx > 0 && sum > size && rec.Offset > recs[idx-1].Offset {
			return Page{Records: recs[:idx], End: rec.Offset}
		}
	}
	return Page{Records: recs, End: end}
}

// Handler returns the handler that serves src to other nodes.
func Handler(src Source) http.Handler {
	mux := http.NewServeMux()
	slots := make(chan struct{}, maxFetches)
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, func(_ context.Context, req *connect.Request[Ask]) (*connect.Response[Page], error) {
		select {
		case slots <- struct{}{}:
		default:
			return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
		}
		defer func() { <-slots }()
		pag, ok := src.Page(*req.Msg)
		if !ok {
			return nil, connect.NewError(connect.CodeNotFound, errUnknown)
		}
		return connect.NewResponse(&pag), nil
	}, connect.WithCodec(peer.Codec())))
	return mux
}

// Client reads from other nodes. It is safe for concurrent use.
type Client struct {
	cli *http.Client
}

// NewClient returns a client whose connections are opened within the bound.
func NewClient(dial time.Duration) *Client {
	dlr := net.Dialer{Timeout: dial}
	return &Client{cli: &http.Client{Transport: &http.Transport{DialContext: dlr.DialContext, DisableKeepAlives: true}}}
}

// Fetch asks the node at addr, in the form host:port.
func (cli *Client) Fetch(ctx context.Context, addr string, ask Ask) (Page, error) {
	con := connect.NewClient[Ask, Page](cli.cli, "http://"+addr+procedure, connect.WithCodec(peer.Codec()))
	res, err := con.CallUnary(ctx, connect.NewRequest(&ask))
	if err != nil {
		return Page{}, err
	}
	return *res.Msg, nil
}
