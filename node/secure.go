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
func (cer TLS) Load(now time.Time) (*tls.Config, error) {
	if !cer.Enabled() {
		return nil, nil
	}
	return certs.Load(certs.Files{Cert: cer.Cert, Key: cer.Key, CA: cer.CA}, now)
}

// newTLS returns the configuration of the node's connections to peers and of
// the operators' interface, nil without TLS.
func newTLS(cfg Config, now func() time.Time) (*tls.Config, error) { return cfg.TLS.Load(now()) }

// secure wraps lis by TLS, if there is a configuration.
func secure(lis net.Listener, sec *tls.Config) net.Listener {
	if sec == nil {
		return lis
	}
	return tls.NewListener(lis, sec)
}

// scheme returns the start of the URL of a peer.
func scheme(sec *tls.Config) string {
	if sec == nil {
		return "http://"
	}
	return "https://"
}
