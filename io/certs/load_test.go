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

func authority(t *testing.T, name string) *certfk.Authority {
	t.Helper()
	aut, err := certfk.New(t.TempDir(), name, now)
	assert.NilError(t, err)
	return aut
}

func sign(t *testing.T, aut *certfk.Authority, name string, end time.Time, uses ...x509.ExtKeyUsage) certs.Files {
	t.Helper()
	fil, err := aut.Sign(name, now.Add(-time.Hour), end, uses...)
	assert.NilError(t, err)
	return fil
}

func both() []x509.ExtKeyUsage {
	return []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
}

func TestLoad(t *testing.T) {
	later := now.Add(time.Hour)
	aut, other := authority(t, "ca"), authority(t, "other-ca")
	good := sign(t, aut, "node", later, both()...)
	old := sign(t, aut, "old", now.Add(-time.Minute), both()...)
	server := sign(t, aut, "server", later, x509.ExtKeyUsageServerAuth)
	foreign := sign(t, other, "foreign", later, both()...)
	mixed := foreign
	mixed.CA = good.CA
	junk := filepath.Join(t.TempDir(), "junk.pem")
	assert.NilError(t, os.WriteFile(junk, []byte("no PEM"), 0o600))
	tests := []struct {
		name string
		give certs.Files
		at   time.Time
		text []string
	}{
		{"good", good, now, nil},
		{"no name", certs.Files{Key: good.Key, CA: good.CA}, now, []string{"certificate", "no file"}},
		{"no file", certs.Files{Cert: good.Cert, Key: "/no/such.key", CA: good.CA}, now, []string{"private key", "/no/such.key"}},
		{"junk certificate", certs.Files{Cert: junk, Key: good.Key, CA: good.CA}, now, []string{"junk.pem"}},
		{"junk key", certs.Files{Cert: good.Cert, Key: junk, CA: good.CA}, now, []string{"junk.pem"}},
		{"junk authorities", certs.Files{Cert: good.Cert, Key: good.Key, CA: junk}, now, []string{"authorities", "junk.pem"}},
		{"key of another", certs.Files{Cert: good.Cert, Key: old.Key, CA: good.CA}, now, []string{"node.crt", "old.key"}},
		{"swapped", certs.Files{Cert: good.Key, Key: good.Cert, CA: good.CA}, now, []string{"node.key"}},
		{"expired", old, now, []string{"old.crt", "valid only from"}},
		{"not yet valid", good, now.Add(-30 * time.Hour), []string{"node.crt", "valid only from"}},
		{"for servers only", server, now, []string{"server.crt", "clients"}},
		{"signed by another", mixed, now, []string{"foreign.crt", "ca.crt"}},
		{"signed by that other", foreign, now, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg, err := certs.Load(tt.give, tt.at)
			if tt.text == nil {
				assert.NilError(t, err)
				assert.Equal(t, cfg.ClientAuth, tls.RequireAndVerifyClientCert)
				return
			}
			assert.Equal(t, core.CodeOf(err), core.CodeConfigInvalid)
			for _, txt := range tt.text {
				assert.Assert(t, strings.Contains(err.Error(), txt), err.Error())
			}
		})
	}
}

// TestHandshake connects clients to a server of the configuration.
func TestHandshake(t *testing.T) {
	later := now.Add(time.Hour)
	srv, err := certs.Load(sign(t, authority(t, "ca"), "node", later, both()...), now)
	assert.NilError(t, err)
	good := srv.Clone()
	foreign, err := certs.Load(sign(t, authority(t, "other-ca"), "foreign", later, both()...), now)
	assert.NilError(t, err)
	foreign.RootCAs = good.RootCAs
	bare := &tls.Config{RootCAs: good.RootCAs}
	old := good.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	for _, tt := range []struct {
		name string
		cfg  *tls.Config
		want bool
	}{
		{"own certificate", good, true},
		{"no certificate", bare, false},
		{"certificate of another authority", foreign, false},
		{"old version", old, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := tls.Listen("tcp", "127.0.0.1:0", srv)
			assert.NilError(t, err)
			defer lis.Close()
			got := make(chan error, 1)
			go func() {
				con, acceptErr := lis.Accept()
				if acceptErr == nil {
					acceptErr = con.(*tls.Conn).Handshake()
					con.Close()
				}
				got <- acceptErr
			}()
			con, err := tls.Dial("tcp", lis.Addr().String(), tt.cfg)
			if err == nil {
				defer con.Close()
			}
			assert.Equal(t, <-got == nil, tt.want)
		})
	}
}
