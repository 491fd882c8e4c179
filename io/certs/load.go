package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"time"

	"kumquathinge/core"
)

// Files names the PEM files of one side: its certificate, with intermediate
// ones behind it, the private key, and the authorities that the other side's
// certificate is checked against.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Load returns a configuration for both servers and clients. Each side
// demands a certificate of the other; TLS 1.3 is the oldest version allowed.
//
// Its error carries core.CodeConfigInvalid and names the file that is missing
// or damaged, the key that does not match, or the certificate that is not
// valid at the time now or not signed by the authorities.
func Load(fil Files, now time.Time) (*tls.Config, error) {
	pool, err := loadPool(fil.CA)
	if err != nil {
		return nil, err
	}
	cer, err := loadPair(fil)
	if err != nil {
		return nil, err
	}
	err = verify(fil, cer, pool, now)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cer},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

func read(what, name string) ([]byte, error) {
	if name == "" {
		return nil, core.Errorf(core.CodeConfigInvalid, "%s: no file is named", what)
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, core.Errorf(core.CodeConfigInvalid, "%s: %v", what, err)
	}
	return raw, nil
}

func loadPool(name string) (*x509.CertPool, error) {
	raw, err := read("authorities", name)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, core.Errorf(core.CodeConfigInvalid, "authorities: %s holds no certificate in PEM", name)
	}
	return pool, nil
}

func loadPair(fil Files) (tls.Certificate, error) {
	crt, err := read("certificate", fil.Cert)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := read("private key", fil.Key)
	if err != nil {
		return tls.Certificate{}, err
	}
	cer, err := tls.X509KeyPair(crt, key)
	if err != nil {
		return tls.Certificate{}, core.Errorf(core.CodeConfigInvalid,
			"certificate %s and private key %s: %v", fil.Cert, fil.Key, err)
	}
	return cer, nil
}

// verify checks the own certificate as the other side will.
func verify(fil Files, cer tls.Certificate, pool *x509.CertPool, now time.Time) error {
	inter := x509.NewCertPool()
	for _, raw := range cer.Certificate[1:] {
		mid, err := x509.ParseCertificate(raw)
		if err != nil {
			return core.Errorf(core.CodeConfigInvalid, "certificate %s: %v", fil.Cert, err)
		}
		inter.AddCert(mid)
	}
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := cer.Leaf.Verify(x509.VerifyOptions{
			Roots:         pool,
			Intermediates: inter,
			CurrentTime:   now,
			KeyUsages:     []x509.ExtKeyUsage{use},
		})
		if err != nil {
			return core.Errorf(core.CodeConfigInvalid, "certificate %s: %s", fil.Cert, reason(fil, cer, err))
		}
	}
	return nil
}

func reason(fil Files, cer tls.Certificate, err error) string {
	var inv x509.CertificateInvalidError
	var unk x509.UnknownAuthorityError
	switch {
	case errors.As(err, &inv) && inv.Reason == x509.Expired:
		return "valid only from " + cer.Leaf.NotBefore.UTC().Format(time.RFC3339) +
			" to " + cer.Leaf.NotAfter.UTC().Format(time.RFC3339)
	case errors.As(err, &inv) && inv.Reason == x509.IncompatibleUsage:
		return "not allowed for both servers and clients"
	case errors.As(err, &unk):
		return "not signed by an authority of " + fil.CA
	default:
		return err.Error()
	}
}
