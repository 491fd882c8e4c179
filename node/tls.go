package node

import (
	"crypto/tls"
	"net"
	"time"

	"kumquathinge/io/certs"
)

// Load reads and checks the files and returns the TLS configuration for both
// sides of a connection, or nil if no files are set. Certificates must be
// valid at now. Its error carries core.CodeConfigInvalid and names the invalid
// file.
func (files TLS) Load(now time.Time) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return certs.Load(certs.Files{Cert: files.Cert, Key: files.Key, CA: files.CA}, now)
}

// newTLS returns the TLS configuration of the peer connections and of the
// operators' interface, or nil without TLS.
func newTLS(cfg Config, now func() time.Time) (*tls.Config, error) { return cfg.TLS.Load(now()) }

// withTLS adds TLS to lis unless tlsCfg is nil.
func withTLS(lis net.Listener, tlsCfg *tls.Config) net.Listener {
	if tlsCfg == nil {
		return lis
	}
	return tls.NewListener(lis, tlsCfg)
}

// urlScheme returns the scheme part of a peer's URL.
func urlScheme(tlsCfg *tls.Config) string {
	if tlsCfg == nil {
		return "http://"
	}
	return "https://"
}
