package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"

	"mangoloft/certs"
	"mangoloft/jsonc"
	"mangoloft/ticket"
)

// fileWire is the settings file. docs/SETTINGS.md explains every field.
type fileWire struct {
	Instance   string         `json:"instance"`
	DataCentre string         `json:"data_centre"`
	Listen     Listen         `json:"listen"`
	Advertise  netip.AddrPort `json:"advertise"`
	Platform   Platform       `json:"platform"`
	// Seeds is optional.
	Seeds  []netip.AddrPort `json:"seeds"`
	Keys   []keyWire        `json:"keys" jsonc:"hidden"`
	Limits Limits           `json:"limits"`
	TLS    tlsWire          `json:"tls"`
}

type tlsWire struct {
	Peers     filesWire `json:"peers"`
	Callers   filesWire `json:"callers"`
	Operators filesWire `json:"operators"`
}

type filesWire struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	CAFile          string `json:"ca_file"`
}

type keyWire struct {
	ID         string `json:"id"`
	SecretFile string `json:"secret_file"`
}

const (
	// maxFileBytes bounds the settings file.
	maxFileBytes = 1 << 20
	// maxSecretBytes bounds the file of a secret.
	maxSecretBytes = 4 << 10
	// othersMayRead are the permission bits of a file that its group or
	// anyone may read or write.
	othersMayRead fs.FileMode = 0o066
)

// secretFile is the content of a file that holds a secret.
type secretFile struct {
	content []byte
	mode    fs.FileMode
}

// Load reads and checks the file at path. The error is a jsonc.Faults with
// every fault, or that of reading the file.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, content)
}

// Parse is Load for content that was read already. Files that it names are
// found from the directory of path.
func Parse(path string, content []byte) (Settings, error) {
	if len(content) > maxFileBytes {
		return Settings{}, jsonc.Faults{{
			File: path, Line: 1, Column: 1, Field: "(document)",
			Found: "a file that is too large", Allowed: fmt.Sprint("at most ", maxFileBytes, " bytes"),
		}}
	}
	return parse(path, content, readSecret)
}

// parse checks the content of the file at path. Secrets come by readSecret.
func parse(path string, content []byte, readSecret func(path string) (secretFile, error)) (Settings, error) {
	wire := fileWire{Limits: Limits{BodyBytes: defaultBodyBytes, OpenRequests: defaultOpenRequests, StopGraceMS: defaultStopGraceMS}}
	c := &checker{Document: jsonc.DecodeDocument(path, content, &wire), dir: filepath.Dir(path), readSecret: readSecret}
	c.name("instance", wire.Instance)
	c.name("data_centre", wire.DataCentre)
	c.listeners(wire)
	c.target("platform.configuration", wire.Platform.Configuration)
	c.target("platform.instance_list", wire.Platform.InstanceList)
	for i, seed := range wire.Seeds {
		c.target(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.inRange("limits.body_bytes", wire.Limits.BodyBytes, minBodyBytes, maxBodyBytes)
	c.inRange("limits.open_requests", int64(wire.Limits.OpenRequests), 1, maxOpenRequests)
	c.inRange("limits.stop_grace_ms", wire.Limits.StopGraceMS, 0, maxStopGraceMS)
	keys := c.keys(wire.Keys)
	secured := TLS{
		Peers: c.files(peersField, wire.TLS.Peers), Callers: c.files("tls.callers", wire.TLS.Callers),
		Operators: c.files("tls.operators", wire.TLS.Operators),
	}
	if faults := c.Faults(); len(faults) > 0 {
		return Settings{}, faults
	}
	advertise := wire.Advertise
	if !advertise.IsValid() {
		advertise = wire.Listen.Peers
	}
	return Settings{
		File: path, Instance: wire.Instance, DataCentre: wire.DataCentre, Listen: wire.Listen,
		// An id holds four bytes for an IPv4 address, however it was written.
		Advertise: netip.AddrPortFrom(advertise.Addr().Unmap(), advertise.Port()),
		Platform:  wire.Platform, Seeds: wire.Seeds, Keys: keys, Limits: wire.Limits, TLS: secured, Warnings: c.warnings,
	}, nil
}

// checker checks what the fields mean, and reports faults at their places.
type checker struct {
	*jsonc.Document
	dir        string
	readSecret func(path string) (secretFile, error)
	warnings   []string
}

const (
	allowedName   = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"
	allowedAddr   = `an IP address and port, such as "10.0.0.1:7000"`
	allowedTarget = allowedAddr + "; not 0.0.0.0 or ::, and port 1 to 65535"
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (c *checker) name(field, name string) {
	if !validName.MatchString(name) {
		c.AddFault(field, c.FoundText(field, fmt.Sprintf("%q", name)), allowedName)
	}
}

// listen checks an address to listen at, which may be unspecified.
func (c *checker) listen(field string, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 || addr.Addr().IsMulticast() {
		c.AddFault(field, c.FoundText(field, fmt.Sprintf("%q", addr)), allowedAddr+"; port 1 to 65535")
	}
}

// target checks an address that others connect to.
func (c *checker) target(field string, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 || addr.Addr().IsMulticast() || addr.Addr().IsUnspecified() || addr.Addr().Zone() != "" {
		c.AddFault(field, c.FoundText(field, fmt.Sprintf("%q", addr)), allowedTarget)
	}
}

func (c *checker) listeners(wire fileWire) {
	c.listen("listen.callers", wire.Listen.Callers)
	c.listen("listen.operators", wire.Listen.Operators)
	if c.Has("advertise") {
		c.target("advertise", wire.Advertise)
		c.listen("listen.peers", wire.Listen.Peers)
	} else {
		c.target("listen.peers", wire.Listen.Peers)
	}
	if collide(wire.Listen.Peers, wire.Listen.Callers) {
		c.AddFault("listen.peers", "the address of listen.callers", "an address of its own")
	}
	if collide(wire.Listen.Operators, wire.Listen.Callers) || collide(wire.Listen.Operators, wire.Listen.Peers) {
		c.AddFault("listen.operators", "the address of another listener", "an address of its own")
	}
}

// collide reports whether one process can't listen at both addresses.
func collide(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) inRange(field string, n, low, high int64) {
	if n < low || n > high {
		c.AddFault(field, fmt.Sprint(n), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) keys(wires []keyWire) []ticket.Key {
	if len(wires) == 0 {
		c.AddFault("keys", c.FoundText("keys", "an empty list"), "at least one key")
	}
	var keys []ticket.Key
	seen := map[string]bool{}
	for i, wire := range wires {
		field := fmt.Sprintf("keys[%d].id", i)
		if !validKeyID.MatchString(wire.ID) || seen[wire.ID] {
			c.AddFault(field, c.FoundText(field, fmt.Sprintf("%q", wire.ID)), "1 to 63 letters, digits, '_' or '-', and another one for each key")
		}
		seen[wire.ID] = true
		keys = append(keys, ticket.Key{ID: wire.ID, Secret: c.secret(fmt.Sprintf("keys[%d].secret_file", i), wire.SecretFile)})
	}
	return keys
}

// A dot would end the key's id inside a ticket.
var validKeyID = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)

// secret reads a secret. Neither it nor the path is ever shown: the field may
// hold the secret itself by mistake.
func (c *checker) secret(field, path string) []byte {
	if path == "" {
		c.AddFault(field, c.FoundText(field, "an empty path"), "the path of a file, from the directory of the settings file")
		return nil
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(c.dir, path)
	}
	file, err := c.readSecret(path)
	if err != nil {
		c.AddFault(field, "a file that can't be read: "+cause(err), "the path of a file, from the directory of the settings file")
		return nil
	}
	secret := bytes.TrimSpace(file.content)
	if len(secret) < ticket.MinSecretBytes || len(file.content) > maxSecretBytes {
		c.AddFault(field, fmt.Sprint("a secret of ", len(secret), " bytes"), fmt.Sprint(ticket.MinSecretBytes, " to ", maxSecretBytes, " bytes"))
	}
	if file.mode&othersMayRead != 0 {
		c.warnings = append(c.warnings, fmt.Sprintf("%s: the file has mode %#o; others than its owner may read or change it", field, file.mode.Perm()))
	}
	return secret
}

// peersField names the files of the links between peers, which need an authority.
const peersField = "tls.peers"

// files checks that the files of a listener are there and belong together.
func (c *checker) files(field string, wire filesWire) certs.Files {
	if wire == (filesWire{}) {
		return certs.Files{}
	}
	files := certs.Files{Certificate: c.path(wire.CertificateFile), Key: c.path(wire.KeyFile), CA: c.path(wire.CAFile)}
	if files.Certificate == "" || files.Key == "" || files.CA == "" && field == peersField {
		c.AddFault(field, "only a part of the files", "certificate_file and key_file, and ca_file for peers")
		return certs.Files{}
	}
	if _, err := certs.NewSource(files); err != nil {
		c.AddFault(field, "files that can't be used: "+cause(err), "PEM files of a certificate, its key, and the authority")
	}
	return files
}

// path returns a path from the directory of the settings file.
func (c *checker) path(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(c.dir, path)
}

// cause returns the reason of a file error without the path.
func cause(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

func readSecret(path string) (secretFile, error) {
	file, err := os.Open(path)
	if err != nil {
		return secretFile{}, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return secretFile{}, err
	}
	content, err := io.ReadAll(io.LimitReader(file, maxSecretBytes+1))
	return secretFile{content, info.Mode()}, err
}
