package node

import (
	"kumquathinge/core"
	"kumquathinge/io/peer"
)

// Option changes what a node is built from.
type Option func(*options)

// options are the parts that a program which embeds a node may bring along.
type options struct {
	log    core.Log
	lister core.VMLister
	dial   peer.DialFunc
}

// WithLog makes the node use src as the platform's log in place of the start
// file's.
func WithLog(src core.Log) Option { return func(opt *options) { opt.log = src } }

// WithLister makes the node use src as the platform's list of VMs in place of
// the start file's.
func WithLister(src core.VMLister) Option { return func(opt *options) { opt.lister = src } }

// WithPeerDialer makes the node open its connections to peers with dial.
func WithPeerDialer(dial peer.DialFunc) Option { return func(opt *options) { opt.dial = dial } }
