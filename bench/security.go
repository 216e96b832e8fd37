package bench

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// Authority is a certificate authority for a fleet's entry instances.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pem         []byte
}

// certificateLife is the validity period of the certificates.
const certificateLife = 24 * time.Hour

// NewAuthority returns a new authority with a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLife), KeyUsage: x509.KeyUsageCertSign,
	}
	content, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(content)
	return &Authority{key, certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: content})}, err
}

// PEM returns the authority's certificate in PEM format.
func (a *Authority) PEM() []byte { return a.pem }

// Issue issues a certificate for the IP address and writes it and its key to the
// files name.crt and name.key.
func (a *Authority) Issue(dir, name string, addr netip.Addr) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{addr.AsSlice()},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLife),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	content, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	for file, block := range map[string]*pem.Block{
		name + ".crt": {Type: "CERTIFICATE", Bytes: content}, name + ".key": {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(filepath.Join(dir, file), pem.EncodeToMemory(block), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// writeCertificate writes the entry instance's certificate and returns its TLS
// settings. Without an authority in the plan, there are none.
func (f *Fleet) writeCertificate(p *Process) (string, error) {
	if f.plan.Authority == nil {
		return "", nil
	}
	if err := os.WriteFile(filepath.Join(f.plan.Dir, "ca.crt"), f.plan.Authority.PEM(), 0o600); err != nil {
		return "", err
	}
	settings := fmt.Sprintf(`"peers": {"certificate_file": %q, "key_file": %q, "ca_file": "ca.crt"}`, p.Name+".crt", p.Name+".key")
	return settings, f.plan.Authority.Issue(f.plan.Dir, p.Name, p.IP)
}

// SetKeys writes a key ring with the given keys to the settings of all entry
// instances, and creates missing keys. A new fleet has only the key "k1".
func (f *Fleet) SetKeys(ids ...string) error {
	var ring []string
	for _, id := range ids {
		file := "key"
		if id != "k1" {
			file = id
			if err := writeSecret(filepath.Join(f.plan.Dir, file)); err != nil {
				return err
			}
		}
		ring = append(ring, fmt.Sprintf(`{"id": %q, "secret_file": %q}`, id, file))
	}
	for _, p := range f.Entries {
		path := filepath.Join(f.plan.Dir, p.Name+".json")
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		content = keysLine.ReplaceAll(content, []byte(`"keys": [`+strings.Join(ring, ", ")+"],"))
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// keysLine matches the key ring in the settings that StartEntry writes.
var keysLine = regexp.MustCompile(`"keys": .*`)

// writeSecret writes a new secret unless the file exists.
func writeSecret(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	secret := make([]byte, 32)
	rand.Read(secret)
	return os.WriteFile(path, []byte(hex.EncodeToString(secret)), 0o600)
}
