package mirror

import (
	"context"
	"net"
	"net/http"
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

// Page holds the newest records of the keys that changed, and the offset to
// which the node has read the topic.
type Page struct {
	Records []Record `cbor:"1,keyasint"`
	End     int64    `cbor:"2,keyasint"`
}

// Source is what a node knows of the topics.
type Source interface {
	// Page returns the page for an Ask; ok is false for an unknown topic.
	Page(ask Ask) (pag Page, ok bool)
}

// Handler returns the handler that serves src to other nodes.
func Handler(src Source) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, func(_ context.Context, req *connect.Request[Ask]) (*connect.Response[Page], error) {
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
