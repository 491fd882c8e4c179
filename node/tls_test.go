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

// newCertificate creates an authority and a certificate that expires after
// validFor.
func newCertificate(t *testing.T, caName string, validFor time.Duration) node.TLS {
	t.Helper()
	now := time.Now()
	ca, err := certfk.New(t.TempDir(), caName, now)
	assert.NilError(t, err)
	files, err := ca.Sign("node", now.Add(-time.Hour), now.Add(validFor), x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth)
	assert.NilError(t, err)
	return node.TLS{Cert: files.Cert, Key: files.Key, CA: files.CA}
}

// loadTLS returns the TLS configuration of the files.
func loadTLS(t *testing.T, files node.TLS) *tls.Config {
	t.Helper()
	tlsCfg, err := files.Load(time.Now())
	assert.NilError(t, err)
	return tlsCfg
}

// TestMutualTLS runs a system whose entry VMs have certificates. All must see
// each other as live, and a peer or operator without a valid certificate must
// be rejected.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	trusted, untrusted := newCertificate(t, "ca", time.Hour), newCertificate(t, "other-ca", time.Hour)
	sys := nodets.Start(t, nodets.Config{TLS: trusted})
	for _, entry := range sys.EntryVMs {
		sys.Await(func(poll.LogT) poll.Result {
			status, err := sys.Status(entry)
			if err != nil {
				return poll.Continue("%v", err)
			}
			num := 0
			for _, nodeStatus := range status.Nodes {
				if nodeStatus.Live {
					num++
				}
			}
			if num < len(sys.EntryVMs) {
				return poll.Continue("%s has %d of %d nodes live", entry.Name, num, len(sys.EntryVMs))
			}
			return poll.Success()
		})
	}
	good, foreign := loadTLS(t, trusted), loadTLS(t, untrusted)
	trusting := foreign.Clone()
	trusting.RootCAs = good.RootCAs
	tests := []struct {
		name   string
		scheme string
		tlsCfg *tls.Config
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
			addrs := sys.EntryVMs[0].Addrs
			client := peer.New(tt.scheme+addrs.Peers, peer.Config{DialTimeout: time.Minute, CallTimeout: time.Minute, TLS: tt.tlsCfg})
			defer client.Close()
			hb, err := client.Exchange(context.Background(), core.Heartbeat{Node: "e1", Zone: "z1"})
			assert.Equal(t, err == nil, tt.want, "%v", err)
			assert.Equal(t, hb.Node == "e1", tt.want)
			httpClient := http.Client{Transport: &http.Transport{TLSClientConfig: tt.tlsCfg, DisableKeepAlives: true}}
			res, err := httpClient.Get(tt.scheme + addrs.Operators + "/v1/status")
			if err == nil {
				_ = res.Body.Close()
			}
			assert.Equal(t, err == nil && res.StatusCode == http.StatusOK, tt.want, "%v", err)
		})
	}
}

// TestBadCertificate builds nodes from invalid certificate files and checks
// that the error names the file.
func TestBadCertificate(t *testing.T) {
	good, old := newCertificate(t, "ca", time.Hour), newCertificate(t, "old-ca", -time.Minute)
	junk := filepath.Join(t.TempDir(), "junk.pem")
	assert.NilError(t, os.WriteFile(junk, []byte("no PEM"), 0o600))
	tests := []struct {
		name  string
		files node.TLS
		text  []string
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
			const anyAddr = "127.0.0.1:0"
			_, err := node.Build(node.Config{
				Node: "e1", Zone: "z1", Log: anyAddr, VMs: anyAddr, TLS: tt.files,
				Listen: node.Listen{Callers: anyAddr, Operators: anyAddr, Peers: anyAddr, Metrics: anyAddr},
			}, log)
			assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid, "%v", err)
			for _, text := range tt.text {
				assert.Assert(t, strings.Contains(err.Error(), text), "%v", err)
			}
		})
	}
}
