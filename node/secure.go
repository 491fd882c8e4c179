package node

import (
	"crypto/tls"
	"net"
	"time"

	"kumquathinge/io/certs"
)

// Load reads and checks the files and returns the configuration of both sides
// of a connection, nil if no files are named. Its error carries
// core.CodeConfigInvalid and names the file that is wrong at the time now.
func (files TLS) Load(now time.Time) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return certs.Load(certs.Files{Cert: files.Cert, Key: files.Key, CA: files.CA}, now)
}

// newTLS returns the configuration of the node's connections to peers and of
// the operators' interface, nil without TLS.
func newTLS(cfg Config, now func() time.Time) (*tls.Config, error) { return cfg.TLS.Load(now()) }

// withTLS wraps lis by TLS, if there is a configuration.
func withTLS(lis net.Listener, tlsCfg *tls.Config) net.Listener {
	if tlsCfg == nil {
		return lis
	}
	return tls.NewListener(lis, tlsCfg)
}

// urlScheme returns the start of the URL of a peer.
func urlScheme(tlsCfg *tls.Config) string {
	if tlsCfg == nil {
		return "http://"
	}
	return "https://"
}
