package node_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/io/certs/certfk"
	"kumquathinge/io/peer"
	"kumquathinge/node"
	"kumquathinge/node/nodets"
)

// certificate makes an authority and a certificate that ends after a time.
func certificate(t *testing.T, authority string, end time.Duration) node.TLS {
	t.Helper()
	now := time.Now()
	aut, err := certfk.New(t.TempDir(), authority, now)
	assert.NilError(t, err)
	fil, err := aut.Sign("node", now.Add(-time.Hour), now.Add(end), x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth)
	assert.NilError(t, err)
	return node.TLS{Cert: fil.Cert, Key: fil.Key, CA: fil.CA}
}

// load returns the configuration of the files.
func load(t *testing.T, cer node.TLS) *tls.Config {
	t.Helper()
	sec, err := cer.Load(time.Now())
	assert.NilError(t, err)
	return sec
}

// TestMutualTLS runs a system whose entry VMs have certificates: each hears of
// all others, and a peer or operator who doesn't prove to be one is refused.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	own, other := certificate(t, "ca", time.Hour), certificate(t, "other-ca", time.Hour)
	sys := nodets.Start(t, nodets.Config{TLS: own})
	for _, mem := range sys.EntryVMs {
		sys.Await(func(poll.LogT) poll.Result {
			sta, err := sys.Status(mem)
			if err != nil {
				return poll.Continue("%v", err)
			}
			num := 0
			for _, nod := range sta.Nodes {
				if nod.Live {
					num++
				}
			}
			if num < len(sys.EntryVMs) {
				return poll.Continue("%s hears %d of %d", mem.Name, num, len(sys.EntryVMs))
			}
			return poll.Success()
		})
	}
	good, foreign := load(t, own), load(t, other)
	trusting := foreign.Clone()
	trusting.RootCAs = good.RootCAs
	tests := []struct {
		name   string
		scheme string
		sec    *tls.Config
		want   bool
	}{
		{"own certificate", "https://", good, true},
		{"no TLS", "http://", nil, false},
		{"no certificate", "https://", &tls.Config{RootCAs: good.RootCAs}, false},
		{"certificate of another authority", "https://", trusting, false},
		{"server of another authority", "https://", foreign, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			adr := sys.EntryVMs[0].Addrs
			cli := peer.New(tt.scheme+adr.Peers, peer.Config{Dial: time.Minute, Call: time.Minute, TLS: tt.sec})
			defer cli.Close()
			bea, err := cli.Exchange(context.Background(), core.Heartbeat{Node: "e1", Zone: "z1"})
			assert.Equal(t, err == nil, tt.want, "%v", err)
			assert.Equal(t, bea.Node == "e1", tt.want)
			hcl := http.Client{Transport: &http.Transport{TLSClientConfig: tt.sec, DisableKeepAlives: true}}
			res, err := hcl.Get(tt.scheme + adr.Operators + "/v1/status")
			if err == nil {
				_ = res.Body.Close()
			}
			assert.Equal(t, err == nil && res.StatusCode == http.StatusOK, tt.want, "%v", err)
		})
	}
}

// TestBadCertificate builds a node from files that can't be used.
func TestBadCertificate(t *testing.T) {
	good, old := certificate(t, "ca", time.Hour), certificate(t, "old-ca", -time.Minute)
	junk := filepath.Join(t.TempDir(), "junk.pem")
	assert.NilError(t, os.WriteFile(junk, []byte("no PEM"), 0o600))
	tests := []struct {
		name string
		cer  node.TLS
		text []string
	}{
		{"missing certificate", node.TLS{Cert: "/no/such.crt", Key: good.Key, CA: good.CA}, []string{"/no/such.crt", "no such file"}},
		{"missing key", node.TLS{Cert: good.Cert, Key: "/no/such.key", CA: good.CA}, []string{"/no/such.key", "no such file"}},
		{"missing authority", node.TLS{Cert: good.Cert, Key: good.Key, CA: "/no/such.ca"}, []string{"/no/such.ca", "no such file"}},
		{"authority is a folder", node.TLS{Cert: good.Cert, Key: good.Key, CA: t.TempDir()}, []string{"is a directory"}},
		{"junk certificate", node.TLS{Cert: junk, Key: good.Key, CA: good.CA}, []string{junk, "PEM"}},
		{"junk key", node.TLS{Cert: good.Cert, Key: junk, CA: good.CA}, []string{junk, "PEM"}},
		{"junk authority", node.TLS{Cert: good.Cert, Key: good.Key, CA: junk}, []string{junk, "PEM"}},
		{"key of another", node.TLS{Cert: good.Cert, Key: old.Key, CA: good.CA}, []string{good.Cert, old.Key, "match"}},
		{"expired", old, []string{old.Cert, "valid only from"}},
		{"another authority", node.TLS{Cert: good.Cert, Key: good.Key, CA: old.CA}, []string{good.Cert, old.CA, "not signed"}},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const any = "127.0.0.1:0"
			_, err := node.Build(node.Config{
				Node: "e1", Zone: "z1", Log: any, VMs: any, TLS: tt.cer,
				Listen: node.Listen{Callers: any, Operators: any, Peers: any, Metrics: any},
			}, log)
			assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid, "%v", err)
			for _, txt := range tt.text {
				assert.Assert(t, strings.Contains(err.Error(), txt), "%v", err)
			}
		})
	}
}
