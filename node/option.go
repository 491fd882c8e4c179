package node

import (
	"kumquathinge/core"
	"kumquathinge/io/peer"
)

// Option overrides a part of a node.
type Option func(*options)

// options are the parts that a program which embeds a node can provide itself.
type options struct {
	log    core.Log
	lister core.VMLister
	dial   peer.DialFunc
}

// WithLog makes the node use src as the platform's log instead of the one in
// the start file.
func WithLog(src core.Log) Option { return func(opt *options) { opt.log = src } }

// WithLister makes the node use src as the platform's list of VMs instead of
// the one in the start file.
func WithLister(src core.VMLister) Option { return func(opt *options) { opt.lister = src } }

// WithPeerDialer makes the node open its connections to peers with dial.
func WithPeerDialer(dial peer.DialFunc) Option { return func(opt *options) { opt.dial = dial } }
