// Package keys makes and reloads the keys of a fleet: one certificate authority,
// and a certificate for each node that is good for both ends of a connection.
//
// # Usage
//
//	authority, err := keys.NewAuthority("montevideo")
//	pair, err := authority.Issue("node-1", []string{"10.0.0.1"})
//	files, err := keys.Load(certPath, keyPath, caPath)
//	tlsConfig := files.Mutual()
//
// Files are looked at again every few seconds, so a rotation needs no restart.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	validity     = 90 * 24 * time.Hour
	clockSkew    = time.Hour
	serialBits   = 120
	reloadPeriod = 5 * time.Second
	// ServerName is the name every node's certificate carries besides its own.
	// Nodes are dialled by IP number and know each other by this name.
	ServerName = "node.eiderfold"
)

// Pair is a certificate with its key, in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of one fleet.
type Authority struct {
	pair        Pair
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority makes an authority with a fresh key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make the authority's key")
	}
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	certificate, err := parse(pair.Certificate)
	if err != nil {
		return nil, err
	}
	return &Authority{pair: pair, certificate: certificate, key: key}, nil
}

// OpenAuthority returns the authority that a pair was written from.
func OpenAuthority(p Pair) (*Authority, error) {
	certificate, err := parse(p.Certificate)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(p.Key)
	if block == nil {
		return nil, errors.New("no PEM key")
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse key")
	}
	return &Authority{pair: p, certificate: certificate, key: key}, nil
}

// Pair returns the authority's certificate and key in PEM.
func (a *Authority) Pair() Pair { return a.pair }

// Certificate returns the authority's certificate in PEM.
func (a *Authority) Certificate() []byte { return a.pair.Certificate }

// Issue makes a certificate for a node and the IP numbers it listens on.
func (a *Authority) Issue(name string, addresses []string) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "make a node's key")
	}
	template, err := newTemplate(name)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{ServerName, name}
	for _, text := range addresses {
		ip := net.ParseIP(text)
		if ip == nil {
			return Pair{}, errors.Errorf("%q is no IP number", text)
		}
		template.IPAddresses = append(template.IPAddresses, ip)
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	return sign(template, a.certificate, key, a.key)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "draw a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign a certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func parse(text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, errors.New("no PEM certificate")
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	return certificate, errors.Wrap(err, "parse certificate")
}

// Material is a node's own pair and the authority it trusts. It is safe for
// several goroutines.
type Material struct {
	now   atomic.Pointer[material]
	paths [3]string
}

type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New returns material from PEM text.
func New(pair Pair, authority []byte) (*Material, error) {
	m := &Material{}
	return m, m.set(pair, authority)
}

// Load reads material from files.
func Load(certificate, key, authority string) (*Material, error) {
	m := &Material{paths: [3]string{certificate, key, authority}}
	return m, m.Reload()
}

// Reload reads the files again. On an error the old material stays in use.
func (m *Material) Reload() error {
	var texts [3][]byte
	for i, p := range m.paths {
		text, err := os.ReadFile(p)
		if err != nil {
			return errors.Wrap(err, "read key material")
		}
		texts[i] = text
	}
	return m.set(Pair{Certificate: texts[0], Key: texts[1]}, texts[2])
}

// Follow reloads the files until stop is closed, and tells report of errors.
func (m *Material) Follow(stop <-chan struct{}, report func(error)) {
	if m.paths[0] == "" {
		return
	}
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := m.Reload(); err != nil {
				report(err)
			}
		case <-stop:
			return
		}
	}
}

func (m *Material) set(pair Pair, authority []byte) error {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.New("authority: no PEM certificate")
	}
	m.now.Store(&material{certificate: certificate, authorities: pool})
	return nil
}

// Mutual returns a configuration for both ends between nodes: each shows its
// certificate and checks the other's against the authority. Both are looked up
// at every handshake, so new files count from the next connection on.
func (m *Material) Mutual() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           ServerName,
		InsecureSkipVerify:   true, // Replaced by VerifyConnection, which can follow a new authority.
		VerifyConnection:     m.verify,
		ClientAuth:           tls.RequireAnyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &m.now.Load().certificate, nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &m.now.Load().certificate, nil },
	}
}

// Server returns a configuration towards callers and operators, who need not
// show a certificate.
func (m *Material) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &m.now.Load().certificate, nil },
	}
}

// verify checks the other end's chain and that it is a node of this fleet.
func (m *Material) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other end shows no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       ServerName,
		Roots:         m.now.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "the other end is no node of this fleet")
}
