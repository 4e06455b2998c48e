package standin

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

	"github.com/go-faster/errors"
)

// certificateLifetime is long enough for any test.
const certificateLifetime = 24 * time.Hour

// Authority is a stand-in of a certificate authority. It writes PEM files to
// a directory.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority whose own certificate is in the file
// NAME.pem of the directory.
func NewAuthority(dir, name string) (a *Authority, err error) {
	a = &Authority{dir: dir}
	a.cert = template(name)
	a.cert.IsCA = true
	a.cert.BasicConstraintsValid = true
	a.cert.KeyUsage = x509.KeyUsageCertSign
	a.key, err = a.issue(name, a.cert)
	return a, err
}

// Issue writes NAME.pem and NAME-key.pem, a certificate for loopback that
// serves both ends of a connection.
func (a *Authority) Issue(name string) error {
	cert := template(name)
	cert.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	cert.KeyUsage = x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	_, err := a.issue(name, cert)
	return err
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateLifetime),
	}
}

// issue signs a certificate, with its own key if the authority has none yet.
func (a *Authority) issue(name string, cert *x509.Certificate) (key *ecdsa.PrivateKey, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "issue certificate %s", name)
		}
	}()
	key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	signer := a.key
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, signer)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	if err := a.write(name+".pem", "CERTIFICATE", der); err != nil {
		return nil, err
	}
	return key, a.write(name+"-key.pem", "PRIVATE KEY", keyDER)
}

func (a *Authority) write(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return os.WriteFile(filepath.Join(a.dir, file), data, 0o600)
}
