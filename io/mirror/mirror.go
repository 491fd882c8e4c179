package mirror

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"kumquathinge/core/keyed"
	"kumquathinge/core/site"
	"kumquathinge/io/peer"
	"kumquathinge/io/strict"
)

const procedure = "/kumquathinge.Mirror/Fetch"

// FetchRequest requests the records of a topic from a position on.
type FetchRequest struct {
	Topic string `cbor:"1,keyasint"`
	From  int64  `cbor:"2,keyasint"`
	Era   int64  `cbor:"3,keyasint,omitempty"`
	// Partial is that of keyed.Request.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// NewFetchRequest returns the message for a request.
func NewFetchRequest(topic string, req keyed.Request) FetchRequest {
	return FetchRequest{Topic: topic, From: req.From.Offset, Era: req.From.Era, Partial: req.Partial}
}

// Request returns the request in the message.
func (req FetchRequest) Request() keyed.Request {
	return keyed.Request{From: site.Position{Era: req.Era, Offset: req.From}, Partial: req.Partial}
}

// pageMessage is a page between nodes.
type pageMessage struct {
	Records []site.Record `cbor:"1,keyasint"`
	End     int64         `cbor:"2,keyasint"`
	Era     int64         `cbor:"3,keyasint,omitempty"`
	Start   int64         `cbor:"4,keyasint,omitempty"`
	More    bool          `cbor:"5,keyasint,omitempty"`
	Lossy   bool          `cbor:"6,keyasint,omitempty"`
	Keys    []string      `cbor:"7,keyasint"`
}

// Source provides a node's copy of the topics.
type Source interface {
	// Page returns the page for a request; ok is false if the topic is unknown.
	Page(req FetchRequest) (page keyed.Page, ok bool)
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

// Handler returns an HTTP handler that serves src to other nodes.
func Handler(src Source) http.Handler {
	mux := http.NewServeMux()
	slots := make(chan struct{}, maxConcurrentFetches)
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, func(_ context.Context, req *connect.Request[FetchRequest]) (*connect.Response[pageMessage], error) {
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
		return connect.NewResponse(&pageMessage{Records: page.Records, End: page.End.Offset, Era: page.End.Era, Start: page.Start.Offset, More: page.More, Lossy: page.Lossy, Keys: page.Keys}), nil
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
	transport := strict.NewTransport(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true})
	return &Client{httpClient: &http.Client{Transport: transport}}
}

// Fetch requests a page from the node at addr, which has the form host:port.
func (client *Client) Fetch(ctx context.Context, addr string, req FetchRequest) (keyed.Page, error) {
	rpc := connect.NewClient[FetchRequest, pageMessage](client.httpClient, "http://"+addr+procedure, connect.WithCodec(peer.Codec()))
	resp, err := rpc.CallUnary(ctx, connect.NewRequest(&req))
	if err != nil {
		return keyed.Page{}, err
	}
	msg := resp.Msg
	return keyed.Page{
		Records: msg.Records, Start: site.Position{Era: msg.Era, Offset: msg.Start}, End: site.Position{Era: msg.Era, Offset: msg.End}, More: msg.More, Lossy: msg.Lossy, Keys: msg.Keys,
	}, nil
}
