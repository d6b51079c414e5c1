// Package keys creates and reloads the keys of a fleet: one certificate authority,
// and a certificate for each node, valid for both client and server authentication.
//
// # Usage
//
//	authority, err := keys.NewAuthority("montevideo")
//	pair, err := authority.Issue("node-1", []string{"10.0.0.1"})
//	material, err := keys.Load(certPath, keyPath, caPath)
//	tlsConfig := material.MutualTLS()
//
// ReloadUntil reloads the files every few seconds, so a rotation needs no restart.
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
	certificateValidity = 90 * 24 * time.Hour // Of the certificates of the authority and of nodes.
	clockSkew           = time.Hour           // Subtracted from the start of the validity.
	serialBits          = 120
	reloadPeriod        = 5 * time.Second
	// ServerName is a DNS name in every node's certificate besides its own name. Nodes
	// are dialled by IP address and verified by this name.
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

// NewAuthority returns an authority with a new key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's key")
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
	certificate, err := parseCertificate(pair.Certificate)
	if err != nil {
		return nil, err
	}
	return &Authority{pair: pair, certificate: certificate, key: key}, nil
}

// OpenAuthority returns the authority with a given pair, as returned by Pair.
func OpenAuthority(p Pair) (*Authority, error) {
	certificate, err := parseCertificate(p.Certificate)
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

// Issue issues a certificate for a node and the IP addresses it listens on.
func (a *Authority) Issue(name string, addresses []string) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate a node's key")
	}
	template, err := newTemplate(name)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{ServerName, name}
	for _, text := range addresses {
		ip := net.ParseIP(text)
		if ip == nil {
			return Pair{}, errors.Errorf("%q is not an IP address", text)
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
		return nil, errors.Wrap(err, "generate a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(certificateValidity),
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

// parseCertificate parses the certificate in the first block of a PEM text.
func parseCertificate(text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, errors.New("no PEM certificate")
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	return certificate, errors.Wrap(err, "parse certificate")
}

// Material holds a node's own pair and the authorities it trusts. It is safe for
// concurrent use.
type Material struct {
	current atomic.Pointer[loadedMaterial]
	paths   [3]string // Of certificate, key and authority; empty if not loaded from files.
}

// loadedMaterial is the immutable content of a Material.
type loadedMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New returns material from PEM blocks.
func New(pair Pair, authority []byte) (*Material, error) {
	m := &Material{}
	return m, m.set(pair, authority)
}

// Load returns material from the PEM files at the given paths.
func Load(certificate, key, authority string) (*Material, error) {
	m := &Material{paths: [3]string{certificate, key, authority}}
	return m, m.Reload()
}

// Reload reads the files again. On an error the previous material stays in use.
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

// ReloadUntil reloads the files every reloadPeriod until stop is closed, and passes errors
// to report. It returns at once if the material was not loaded from files.
func (m *Material) ReloadUntil(stop <-chan struct{}, report func(error)) {
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

// set puts a pair and the trusted authorities in use. On an error the previous material
// stays in use.
func (m *Material) set(pair Pair, authority []byte) error {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.New("authority: no PEM certificate")
	}
	m.current.Store(&loadedMaterial{certificate: certificate, authorities: pool})
	return nil
}

// MutualTLS returns a client and server configuration for mutual TLS between nodes.
// Certificate and authorities are read at each handshake, so reloaded files apply to
// new connections.
func (m *Material) MutualTLS() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           ServerName,
		InsecureSkipVerify:   true, // VerifyConnection verifies instead, with the current authorities.
		VerifyConnection:     m.verify,
		ClientAuth:           tls.RequireAnyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &m.current.Load().certificate, nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &m.current.Load().certificate, nil },
	}
}

// ServerTLS returns a server configuration for callers and operators, which need no
// client certificate.
func (m *Material) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &m.current.Load().certificate, nil },
	}
}

// verify checks the peer's certificate chain and that the peer is a node of this fleet.
func (m *Material) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       ServerName,
		Roots:         m.current.Load().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "peer is not a node of this fleet")
}
