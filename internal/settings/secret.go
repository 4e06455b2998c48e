package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// Secret is a key kept in a file or in the environment.
type Secret struct {
	File        string `json:"file,omitempty"`
	Environment string `json:"environment,omitempty"`
}

// Read returns the secret, which is never empty.
func (s Secret) Read() (key string, err error) {
	if s.Environment != "" {
		key = os.Getenv(s.Environment)
		if key == "" {
			return "", errors.Errorf("the environment variable %s is not set or empty", s.Environment)
		}
		return key, nil
	}
	data, err := os.ReadFile(s.File)
	if err != nil {
		return "", errors.Wrap(err, "read key")
	}
	key = strings.TrimSpace(string(data))
	if key == "" {
		return "", errors.Errorf("%s is empty", s.File)
	}
	return key, nil
}

// TLS names the PEM files of a server's certificate and its private key.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func (t *TLS) check(c *checker, path string) {
	if t == nil {
		return
	}
	c.require(t.Certificate != "", path+".certificate", "is missing")
	c.require(t.Key != "", path+".key", "is missing")
}

// PeerTLS names the PEM files with which daemons know each other. Each
// certificate must name its host's IP address and serve both ends.
type PeerTLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// CA signs the certificates of all daemons, and of nothing else.
	CA string `json:"ca"`
}

func (t *PeerTLS) check(c *checker) {
	if t == nil {
		return
	}
	(&TLS{Certificate: t.Certificate, Key: t.Key}).check(c, "peerTls")
	c.require(t.CA != "", "peerTls.ca", "is missing")
}

// Secrets holds the contents of the files and variables that the settings name. A TLS
// configuration is nil where plain HTTP is spoken.
type Secrets struct {
	OperatorKey string
	CallerTLS   *tls.Config
	OperatorTLS *tls.Config
	// PeerTLS serves as the configuration of both ends.
	PeerTLS *tls.Config
}

// secrets reads what the settings name. What is not named is not read.
func (s *Settings) secrets() (*Secrets, Faults) {
	c := &checker{}
	read := &Secrets{}
	if s.OperatorKey != (Secret{}) {
		key, err := s.OperatorKey.Read()
		c.readable("operatorKey", err)
		read.OperatorKey = key
	}
	read.CallerTLS = c.server("callerTls", s.CallerTLS)
	read.OperatorTLS = c.server("operatorTls", s.OperatorTLS)
	read.PeerTLS = c.peer(s.PeerTLS)
	return read, c.faults
}

func (c *checker) readable(path string, err error) {
	if err != nil {
		c.require(false, path, "%s", err.Error())
	}
}

func (c *checker) server(path string, t *TLS) *tls.Config {
	if t == nil || t.Certificate == "" || t.Key == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	c.readable(path, err)
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
}

func (c *checker) peer(t *PeerTLS) *tls.Config {
	if t == nil {
		return nil
	}
	cfg := c.server("peerTls", &TLS{Certificate: t.Certificate, Key: t.Key})
	if cfg == nil || t.CA == "" {
		return nil
	}
	pool := x509.NewCertPool()
	data, err := os.ReadFile(t.CA)
	c.readable("peerTls.ca", err)
	if err == nil && !pool.AppendCertsFromPEM(data) {
		c.require(false, "peerTls.ca", "%s holds no PEM certificate", t.CA)
	}
	cfg.MinVersion = tls.VersionTLS13
	cfg.RootCAs = pool
	cfg.ClientCAs = pool
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg
}
