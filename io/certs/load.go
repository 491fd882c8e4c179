package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"time"

	"kumquathinge/core"
)

// Files holds the names of the PEM files for one side of a connection: its
// certificate followed by intermediate certificates, its private key, and the
// certificate authorities (CAs) that verify the other side's certificate.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Load returns a configuration for both servers and clients. Each side requires
// a certificate from the other; the minimum version is TLS 1.3.
//
// Its error carries core.CodeConfigInvalid and names the file that is missing
// or malformed, the key that does not match, or the certificate that is not
// valid at time now, not signed by the CAs, or not usable for both servers and
// clients.
func Load(files Files, now time.Time) (*tls.Config, error) {
	pool, err := loadPool(files.CA)
	if err != nil {
		return nil, err
	}
	cert, err := loadPair(files)
	if err != nil {
		return nil, err
	}
	err = verify(files, cert, pool, now)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

func readFile(what, name string) ([]byte, error) {
	if name == "" {
		return nil, core.Errorf(core.CodeConfigInvalid, "%s: no file is configured", what)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, core.Errorf(core.CodeConfigInvalid, "%s: %v", what, err)
	}
	return raw, nil
}

func loadPool(name string) (*x509.CertPool, error) {
	raw, err := readFile("authorities", name)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, core.Errorf(core.CodeConfigInvalid, "authorities: %s contains no PEM certificate", name)
	}
	return pool, nil
}

func loadPair(files Files) (tls.Certificate, error) {
	certPEM, err := readFile("certificate", files.Cert)
	if err != nil {
		return tls.Certificate{}, err
	}
	keyPEM, err := readFile("private key", files.Key)
	if err != nil {
		return tls.Certificate{}, err
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return tls.Certificate{}, core.Errorf(core.CodeConfigInvalid,
			"certificate %s and private key %s: %v", files.Cert, files.Key, err)
	}
	return cert, nil
}

// verify verifies this side's certificate as the other side will.
func verify(files Files, cert tls.Certificate, pool *x509.CertPool, now time.Time) error {
	intermediates := x509.NewCertPool()
	for _, raw := range cert.Certificate[1:] {
		cert, err := x509.ParseCertificate(raw)
		if err != nil {
			return core.Errorf(core.CodeConfigInvalid, "certificate %s: %v", files.Cert, err)
		}
		intermediates.AddCert(cert)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := cert.Leaf.Verify(x509.VerifyOptions{
			Roots:         pool,
			Intermediates: intermediates,
			CurrentTime:   now,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return core.Errorf(core.CodeConfigInvalid, "certificate %s: %s", files.Cert, verifyReason(files, cert, err))
		}
	}
	return nil
}

func verifyReason(files Files, cert tls.Certificate, err error) string {
	var invalid x509.CertificateInvalidError
	var unknownCA x509.UnknownAuthorityError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return "valid only from " + cert.Leaf.NotBefore.UTC().Format(time.RFC3339) +
			" to " + cert.Leaf.NotAfter.UTC().Format(time.RFC3339)
	case errors.As(err, &invalid) && invalid.Reason == x509.IncompatibleUsage:
		return "not allowed for both servers and clients"
	case errors.As(err, &unknownCA):
		return "not signed by an authority of " + files.CA
	default:
		return err.Error()
	}
}
