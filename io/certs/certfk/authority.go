// Package certfk creates certificate authorities and certificates for tests.
package certfk

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"kumquathinge/io/certs"
)

const fileMode = 0o600

// Authority is a certificate authority that writes the certificates it signs to
// files in one directory.
type Authority struct {
	dir      string
	certFile string
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
	serial   int64
}

// New creates an authority and writes its certificate to dir. The certificate is
// valid from one hour before now until one hour after.
func New(dir, name string, now time.Time) (*Authority, error) {
	ca := &Authority{dir: dir}
	tpl := ca.template(name, now.Add(-time.Hour), now.Add(time.Hour))
	tpl.IsCA = true
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the key of an authority")
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create the certificate of an authority")
	}
	ca.cert, err = x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "create the certificate of an authority")
	}
	ca.key = key
	ca.certFile, err = ca.write(name+".crt", "CERTIFICATE", der)
	return ca, err
}

// Sign creates a key and a certificate for 127.0.0.1 that is valid from notBefore
// to notAfter, and returns the files.
func (ca *Authority) Sign(name string, notBefore, notAfter time.Time, usages ...x509.ExtKeyUsage) (certs.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return certs.Files{}, eris.Wrap(err, "generate a key")
	}
	tpl := ca.template(name, notBefore, notAfter)
	tpl.ExtKeyUsage = usages
	der, err := x509.CreateCertificate(rand.Reader, tpl, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return certs.Files{}, eris.Wrap(err, "create a certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return certs.Files{}, eris.Wrap(err, "encode a key")
	}
	files := certs.Files{CA: ca.certFile}
	files.Cert, err = ca.write(name+".crt", "CERTIFICATE", der)
	if err != nil {
		return files, err
	}
	files.Key, err = ca.write(name+".key", "PRIVATE KEY", raw)
	return files, err
}

func (ca *Authority) template(name string, notBefore, notAfter time.Time) *x509.Certificate {
	ca.serial++
	return &x509.Certificate{
		SerialNumber:          big.NewInt(ca.serial),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             notBefore,
		NotAfter:              notAfter,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		BasicConstraintsValid: true,
	}
}

func (ca *Authority) write(name, blockType string, der []byte) (string, error) {
	path := filepath.Join(ca.dir, name)
	raw := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return path, eris.Wrap(os.WriteFile(path, raw, fileMode), "write the file of a certificate or key")
}
