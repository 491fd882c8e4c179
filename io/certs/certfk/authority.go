// Package certfk makes authorities and certificates for tests.
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

// Authority signs certificates and writes them to files of one folder.
type Authority struct {
	dir    string
	file   string
	crt    *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// New makes an authority and writes its certificate to dir. It is valid from
// an hour before now to an hour after.
func New(dir, name string, now time.Time) (*Authority, error) {
	aut := &Authority{dir: dir}
	tpl := aut.template(name, now.Add(-time.Hour), now.Add(time.Hour))
	tpl.IsCA = true
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "key of an authority")
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "certificate of an authority")
	}
	aut.crt, err = x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "certificate of an authority")
	}
	aut.key = key
	aut.file, err = aut.write(name+".crt", "CERTIFICATE", der)
	return aut, err
}

// Sign makes a certificate for 127.0.0.1 that is valid between the times and
// returns its files.
func (aut *Authority) Sign(name string, from, to time.Time, uses ...x509.ExtKeyUsage) (certs.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return certs.Files{}, eris.Wrap(err, "key")
	}
	tpl := aut.template(name, from, to)
	tpl.ExtKeyUsage = uses
	der, err := x509.CreateCertificate(rand.Reader, tpl, aut.crt, &key.PublicKey, aut.key)
	if err != nil {
		return certs.Files{}, eris.Wrap(err, "certificate")
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return certs.Files{}, eris.Wrap(err, "key")
	}
	fil := certs.Files{CA: aut.file}
	fil.Cert, err = aut.write(name+".crt", "CERTIFICATE", der)
	if err != nil {
		return fil, err
	}
	fil.Key, err = aut.write(name+".key", "PRIVATE KEY", raw)
	return fil, err
}

func (aut *Authority) template(name string, from, to time.Time) *x509.Certificate {
	aut.serial++
	return &x509.Certificate{
		SerialNumber:          big.NewInt(aut.serial),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             from,
		NotAfter:              to,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		BasicConstraintsValid: true,
	}
}

func (aut *Authority) write(name, typ string, der []byte) (string, error) {
	fil := filepath.Join(aut.dir, name)
	raw := pem.EncodeToMemory(&pem.Block{Type: typ, Bytes: der})
	return fil, eris.Wrap(os.WriteFile(fil, raw, fileMode), "file of a certificate")
}
