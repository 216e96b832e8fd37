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

// fileWire is the format of the settings file. docs/SETTINGS.md describes every
// field.
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
	// maxFileBytes is the maximum size of the settings file.
	maxFileBytes = 1 << 20
	// maxSecretBytes is the maximum size of a file that contains a secret.
	maxSecretBytes = 4 << 10
	// nonOwnerAccess is the set of permission bits that allow users other than the
	// owner to read or write a file.
	nonOwnerAccess fs.FileMode = 0o066
)

// secretFile contains the content and the mode of a file that contains a secret.
type secretFile struct {
	content []byte
	mode    fs.FileMode
}

// Load reads and validates the file at path. The error is a jsonc.Faults with all
// faults, or the error of reading the file.
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

// Parse is Load for content that has already been read. Relative file names in it are
// resolved against the directory of path.
func Parse(path string, content []byte) (Settings, error) {
	if len(content) > maxFileBytes {
		return Settings{}, jsonc.Faults{{
			File: path, Line: 1, Column: 1, Field: "(document)",
			Found: "a file that is too large", Allowed: fmt.Sprint("at most ", maxFileBytes, " bytes"),
		}}
	}
	return parse(path, content, readSecret)
}

// parse validates the content of the file at path. It reads secrets with readSecret.
func parse(path string, content []byte, readSecret func(path string) (secretFile, error)) (Settings, error) {
	wire := fileWire{Limits: Limits{BodyBytes: defaultBodyBytes, OpenRequests: defaultOpenRequests, StopGraceMS: defaultStopGraceMS}}
	c := &checker{Document: jsonc.DecodeDocument(path, content, &wire), dir: filepath.Dir(path), readSecret: readSecret}
	c.checkName("instance", wire.Instance)
	c.checkName("data_centre", wire.DataCentre)
	c.checkListeners(wire)
	c.checkTarget("platform.configuration", wire.Platform.Configuration)
	c.checkTarget("platform.instance_list", wire.Platform.InstanceList)
	for i, seed := range wire.Seeds {
		c.checkTarget(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.checkRange("limits.body_bytes", wire.Limits.BodyBytes, minBodyBytes, maxBodyBytes)
	c.checkRange("limits.open_requests", int64(wire.Limits.OpenRequests), 1, maxOpenRequests)
	c.checkRange("limits.stop_grace_ms", wire.Limits.StopGraceMS, 0, maxStopGraceMS)
	keys := c.readKeys(wire.Keys)
	tls := TLS{
		Peers: c.checkFiles(peersField, wire.TLS.Peers), Callers: c.checkFiles("tls.callers", wire.TLS.Callers),
		Operators: c.checkFiles("tls.operators", wire.TLS.Operators),
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
		// Ids encode an IPv4 address in four bytes, so the address is stored in that
		// form however it was written.
		Advertise: netip.AddrPortFrom(advertise.Addr().Unmap(), advertise.Port()),
		Platform:  wire.Platform, Seeds: wire.Seeds, Keys: keys, Limits: wire.Limits, TLS: tls, Warnings: c.warnings,
	}, nil
}

// checker validates the values of the fields and adds faults at their positions.
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

func (c *checker) checkName(field, name string) {
	if !validName.MatchString(name) {
		c.AddFault(field, c.FoundText(field, fmt.Sprintf("%q", name)), allowedName)
	}
}

// checkListen checks an address to listen on, which may be the unspecified address.
func (c *checker) checkListen(field string, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 || addr.Addr().IsMulticast() {
		c.AddFault(field, c.FoundText(field, fmt.Sprintf("%q", addr)), allowedAddr+"; port 1 to 65535")
	}
}

// checkTarget checks an address that other processes connect to.
func (c *checker) checkTarget(field string, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 || addr.Addr().IsMulticast() || addr.Addr().IsUnspecified() || addr.Addr().Zone() != "" {
		c.AddFault(field, c.FoundText(field, fmt.Sprintf("%q", addr)), allowedTarget)
	}
}

// checkListeners checks the addresses to listen on. The peers' listener must have a
// reachable address unless another one is advertised.
func (c *checker) checkListeners(wire fileWire) {
	c.checkListen("listen.callers", wire.Listen.Callers)
	c.checkListen("listen.operators", wire.Listen.Operators)
	if c.Has("advertise") {
		c.checkTarget("advertise", wire.Advertise)
		c.checkListen("listen.peers", wire.Listen.Peers)
	} else {
		c.checkTarget("listen.peers", wire.Listen.Peers)
	}
	if overlap(wire.Listen.Peers, wire.Listen.Callers) {
		c.AddFault("listen.peers", "the address of listen.callers", "an address of its own")
	}
	if overlap(wire.Listen.Operators, wire.Listen.Callers) || overlap(wire.Listen.Operators, wire.Listen.Peers) {
		c.AddFault("listen.operators", "the address of another listener", "an address of its own")
	}
}

// overlap reports whether the addresses conflict, so that a process can't listen on
// both.
func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) checkRange(field string, n, low, high int64) {
	if n < low || n > high {
		c.AddFault(field, fmt.Sprint(n), fmt.Sprintf("%d to %d", low, high))
	}
}

// readKeys reads the secrets of the keys, and checks that the ids are valid and
// different.
func (c *checker) readKeys(wires []keyWire) []ticket.Key {
	if len(wires) == 0 {
		c.AddFault("keys", c.FoundText("keys", "an empty list"), "at least one key")
	}
	var keys []ticket.Key
	seen := map[string]bool{}
	for i, wire := range wires {
		field := fmt.Sprintf("keys[%d].id", i)
		if !validKeyID.MatchString(wire.ID) || seen[wire.ID] {
			c.AddFault(field, c.FoundText(field, fmt.Sprintf("%q", wire.ID)), "1 to 63 letters, digits, '_' or '-', different for each key")
		}
		seen[wire.ID] = true
		keys = append(keys, ticket.Key{ID: wire.ID, Secret: c.loadSecret(fmt.Sprintf("keys[%d].secret_file", i), wire.SecretFile)})
	}
	return keys
}

// Dots are not allowed because a dot ends the key's id inside a ticket.
var validKeyID = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)

// loadSecret reads a secret. Faults contain neither the secret nor the path, because
// the field may by mistake contain the secret itself.
func (c *checker) loadSecret(field, path string) []byte {
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
	if file.mode&nonOwnerAccess != 0 {
		c.warnings = append(c.warnings, fmt.Sprintf("%s: the file has mode %#o; others than its owner may read or change it", field, file.mode.Perm()))
	}
	return secret
}

// peersField is the field with the files for connections between peers, which need a
// certificate authority.
const peersField = "tls.peers"

// checkFiles checks that the TLS files of a listener can be loaded and belong
// together.
func (c *checker) checkFiles(field string, wire filesWire) certs.Files {
	if wire == (filesWire{}) {
		return certs.Files{}
	}
	files := certs.Files{Certificate: c.resolvePath(wire.CertificateFile), Key: c.resolvePath(wire.KeyFile), CA: c.resolvePath(wire.CAFile)}
	if files.Certificate == "" || files.Key == "" || files.CA == "" && field == peersField {
		c.AddFault(field, "only a part of the files", "certificate_file and key_file, and ca_file for peers")
		return certs.Files{}
	}
	if _, err := certs.NewSource(files); err != nil {
		c.AddFault(field, "files that can't be used: "+cause(err), "PEM files of a certificate, its key, and the authority")
	}
	return files
}

// resolvePath resolves a relative path against the directory of the settings file.
func (c *checker) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(c.dir, path)
}

// cause returns the text of a file error without the file's path.
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
