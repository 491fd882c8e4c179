package certs_test

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/certs"
	"kumquathinge/io/certs/certfk"
)

var now = time.Now()

func newAuthority(t *testing.T, name string) *certfk.Authority {
	t.Helper()
	ca, err := certfk.New(t.TempDir(), name, now)
	assert.NilError(t, err)
	return ca
}

func sign(t *testing.T, ca *certfk.Authority, name string, notAfter time.Time, usages ...x509.ExtKeyUsage) certs.Files {
	t.Helper()
	files, err := ca.Sign(name, now.Add(-time.Hour), notAfter, usages...)
	assert.NilError(t, err)
	return files
}

func serverAndClient() []x509.ExtKeyUsage {
	return []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
}

func TestLoad(t *testing.T) {
	later := now.Add(time.Hour)
	ca, other := newAuthority(t, "ca"), newAuthority(t, "other-ca")
	good := sign(t, ca, "node", later, serverAndClient()...)
	expired := sign(t, ca, "old", now.Add(-time.Minute), serverAndClient()...)
	server := sign(t, ca, "server", later, x509.ExtKeyUsageServerAuth)
	foreign := sign(t, other, "foreign", later, serverAndClient()...)
	mixed := foreign
	mixed.CA = good.CA
	junk := filepath.Join(t.TempDir(), "junk.pem")
	assert.NilError(t, os.WriteFile(junk, []byte("no PEM"), 0o600))
	tests := []struct {
		name      string
		give      certs.Files
		at        time.Time
		wantTexts []string
	}{
		{"good", good, now, nil},
		{"no name", certs.Files{Key: good.Key, CA: good.CA}, now, []string{"certificate", "no file"}},
		{"no file", certs.Files{Cert: good.Cert, Key: "/no/such.key", CA: good.CA}, now, []string{"private key", "/no/such.key"}},
		{"junk certificate", certs.Files{Cert: junk, Key: good.Key, CA: good.CA}, now, []string{"junk.pem"}},
		{"junk key", certs.Files{Cert: good.Cert, Key: junk, CA: good.CA}, now, []string{"junk.pem"}},
		{"junk authorities", certs.Files{Cert: good.Cert, Key: good.Key, CA: junk}, now, []string{"authorities", "junk.pem"}},
		{"key of another", certs.Files{Cert: good.Cert, Key: expired.Key, CA: good.CA}, now, []string{"node.crt", "old.key"}},
		{"swapped", certs.Files{Cert: good.Key, Key: good.Cert, CA: good.CA}, now, []string{"node.key"}},
		{"expired", expired, now, []string{"old.crt", "valid only from"}},
		{"not yet valid", good, now.Add(-30 * time.Hour), []string{"node.crt", "valid only from"}},
		{"for servers only", server, now, []string{"server.crt", "clients"}},
		{"signed by another", mixed, now, []string{"foreign.crt", "ca.crt"}},
		{"signed by that other", foreign, now, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg, err := certs.Load(tt.give, tt.at)
			if tt.wantTexts == nil {
				assert.NilError(t, err)
				assert.Equal(t, cfg.ClientAuth, tls.RequireAndVerifyClientCert)
				return
			}
			assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid)
			for _, txt := range tt.wantTexts {
				assert.Assert(t, strings.Contains(err.Error(), txt), err.Error())
			}
		})
	}
}

// TestHandshake checks which clients a server with a loaded configuration accepts.
func TestHandshake(t *testing.T) {
	later := now.Add(time.Hour)
	srv, err := certs.Load(sign(t, newAuthority(t, "ca"), "node", later, serverAndClient()...), now)
	assert.NilError(t, err)
	good := srv.Clone()
	foreign, err := certs.Load(sign(t, newAuthority(t, "other-ca"), "foreign", later, serverAndClient()...), now)
	assert.NilError(t, err)
	foreign.RootCAs = good.RootCAs
	noCert := &tls.Config{RootCAs: good.RootCAs}
	tls12 := good.Clone()
	tls12.MinVersion, tls12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	for _, tt := range []struct {
		name string
		cfg  *tls.Config
		want bool
	}{
		{"own certificate", good, true},
		{"no certificate", noCert, false},
		{"certificate of another authority", foreign, false},
		{"old version", tls12, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := tls.Listen("tcp", "127.0.0.1:0", srv)
			assert.NilError(t, err)
			defer lis.Close()
			handshakeErr := make(chan error, 1)
			go func() {
				conn, acceptErr := lis.Accept()
				if acceptErr == nil {
					acceptErr = conn.(*tls.Conn).Handshake()
					conn.Close()
				}
				handshakeErr <- acceptErr
			}()
			conn, err := tls.Dial("tcp", lis.Addr().String(), tt.cfg)
			if err == nil {
				defer conn.Close()
			}
			assert.Equal(t, <-handshakeErr == nil, tt.want)
		})
	}
}
