package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mangoloft/jsonc"
)

// Kind is what sort of work a class is.
type Kind uint8

const (
	// Stream is a generation whose tokens are relayed as they come.
	Stream Kind = iota
	// Read is an idempotent call of a plain service.
	Read
	// Charge is a call of a plain service that must not be repeated.
	Charge
)

var kindNames = [...]string{Stream: "stream", Read: "read", Charge: "charge"}

// String returns the kind's name in snake case.
func (k Kind) String() string { return kindNames[k] }

// Class is one class of work with the targets that operators gave it.
type Class struct {
	Name string
	Kind Kind
	// Pool names the upstreams that serve the class.
	Pool  string
	Model string
	// Wait is the target from arrival to the first token or answer; zero when
	// the class has none.
	Wait time.Duration
	// Pace is the target between tokens; zero when the class has none.
	Pace time.Duration
	// MaxOutputTokens bounds one output.
	MaxOutputTokens int
}

// Pool is a set of upstreams that serve the same classes.
type Pool struct {
	Name string
	// ChecksFencing says that its engines refuse an order with an old number.
	ChecksFencing bool
}

// View is a checked configuration. It is immutable.
type View struct {
	Version uint64
	Digest  string
	Classes map[string]Class
	Pools   map[string]Pool
	teams   map[[sha256.Size]byte]string
}

// Team returns the team that the credential belongs to.
func (v *View) Team(credential string) (string, bool) {
	name, ok := v.teams[sha256.Sum256([]byte(credential))]
	return name, ok
}

// Teams returns how many teams there are.
func (v *View) Teams() int { return len(v.teams) }

const (
	// MaxValueBytes is the largest value that the configuration service holds.
	MaxValueBytes = 1 << 20
	// maxOutputTokens bounds a class's max_output_tokens, and stands for it when it has none.
	maxOutputTokens = 128 << 10
	maxTarget       = time.Hour
)

type classWire struct {
	Kind            string     `json:"kind"`
	Pool            string     `json:"pool"`
	Model           string     `json:"model"`
	Target          targetWire `json:"target"`
	MaxOutputTokens int        `json:"max_output_tokens"`
}

type targetWire struct {
	WaitMS int64 `json:"wait_ms"`
	PaceMS int64 `json:"pace_ms"`
}

type poolWire struct {
	ChecksFencing bool `json:"checks_fencing"`
}

type teamsWire struct {
	Teams []teamWire `json:"teams"`
}

type teamWire struct {
	Name             string `json:"name"`
	CredentialSHA256 string `json:"credential_sha256"`
}

// Parse checks the whole document. All instances come to the same verdict on
// it, because nothing but the document goes in. The faults are sorted.
func Parse(doc Document) (*View, jsonc.Faults) {
	p := parser{classes: map[string]parsedClass{}, view: &View{
		Version: doc.Index.Version, Digest: doc.Index.Digest(),
		Classes: map[string]Class{}, Pools: map[string]Pool{}, teams: map[[sha256.Size]byte]string{},
	}}
	// In the order of their keys: where two values clash, every instance blames
	// the same one.
	for _, key := range slices.Sorted(maps.Keys(doc.Index.Values)) {
		value, ok := doc.Values[key]
		switch {
		case !ok:
			p.fault(key, "(value)", "nothing", "a value for each key in the index")
		case len(value) > MaxValueBytes:
			p.fault(key, "(value)", fmt.Sprint(len(value), " bytes"), fmt.Sprint("at most ", MaxValueBytes))
		case Hash(value) != doc.Index.Values[key].SHA256:
			p.fault(key, "(value)", "another hash", "the bytes that the index names")
		default:
			p.value(key, value)
		}
	}
	for _, class := range p.classes {
		if _, ok := p.view.Pools[class.pool]; !ok {
			class.document.Fault("pool", fmt.Sprintf("%q", class.pool), "the name of a published pool")
		}
		p.faults = append(p.faults, class.document.Faults()...)
	}
	if len(p.faults) > 0 {
		p.faults.Sort()
		return nil, p.faults
	}
	return p.view, nil
}

type parser struct {
	view   *View
	faults jsonc.Faults
	// classes are checked against the pools once all values are read.
	classes map[string]parsedClass
}

type parsedClass struct {
	document *jsonc.Document
	pool     string
}

func (p *parser) fault(key, field, found, allowed string) {
	p.faults = append(p.faults, jsonc.Fault{File: key, Line: 1, Column: 1, Field: field, Found: found, Allowed: allowed})
}

func (p *parser) value(key string, value []byte) {
	group, name, _ := strings.Cut(key, "/")
	if name == "" {
		p.fault(key, "(key)", fmt.Sprintf("%q", key), "classes/, pools/ or teams/ and a name")
		return
	}
	switch group {
	case "classes":
		p.class(key, name, value)
	case "pools":
		var wire poolWire
		p.faults = append(p.faults, jsonc.Decode(key, value, &wire)...)
		p.view.Pools[name] = Pool{Name: name, ChecksFencing: wire.ChecksFencing}
	case "teams":
		p.teams(key, value)
	default:
		p.fault(key, "(key)", fmt.Sprintf("%q", key), "classes/, pools/ or teams/ and a name")
	}
}

func (p *parser) class(key, name string, value []byte) {
	var wire classWire
	document := jsonc.Read(key, value, &wire)
	p.classes[name] = parsedClass{document, wire.Pool}
	kind := slices.Index(kindNames[:], wire.Kind)
	if kind < 0 {
		document.Fault("kind", fmt.Sprintf("%q", wire.Kind), strings.Join(kindNames[:], ", "))
		return
	}
	if Kind(kind) == Stream && wire.Model == "" {
		document.Fault("model", "nothing", "the name of a model")
	}
	for field, ms := range map[string]int64{"target.wait_ms": wire.Target.WaitMS, "target.pace_ms": wire.Target.PaceMS} {
		if ms < 0 || ms > maxTarget.Milliseconds() {
			document.Fault(field, fmt.Sprint(ms), fmt.Sprint("0 (no target) to ", maxTarget.Milliseconds()))
		}
	}
	if wire.MaxOutputTokens < 0 || wire.MaxOutputTokens > maxOutputTokens {
		document.Fault("max_output_tokens", fmt.Sprint(wire.MaxOutputTokens), fmt.Sprint("0 (the largest) to ", maxOutputTokens))
	}
	if wire.MaxOutputTokens == 0 {
		wire.MaxOutputTokens = maxOutputTokens
	}
	p.view.Classes[name] = Class{
		Name: name, Kind: Kind(kind), Pool: wire.Pool, Model: wire.Model,
		Wait:            time.Duration(wire.Target.WaitMS) * time.Millisecond,
		Pace:            time.Duration(wire.Target.PaceMS) * time.Millisecond,
		MaxOutputTokens: wire.MaxOutputTokens,
	}
}

func (p *parser) teams(key string, value []byte) {
	var wire teamsWire
	document := jsonc.Read(key, value, &wire)
	for i, team := range wire.Teams {
		if team.Name == "" {
			document.Fault(fmt.Sprintf("teams[%d].name", i), "nothing", "a name")
		}
		// The hash is not shown: by mistake it may be the credential itself.
		field := fmt.Sprintf("teams[%d].credential_sha256", i)
		raw, err := hex.DecodeString(team.CredentialSHA256)
		if err != nil || len(raw) != sha256.Size {
			document.Fault(field, fmt.Sprint(len(team.CredentialSHA256), " characters"), "the SHA-256 of the team's credential, 64 hexadecimal digits")
			continue
		}
		hash := [sha256.Size]byte(raw)
		if other, taken := p.view.teams[hash]; taken && other != team.Name {
			document.Fault(field, fmt.Sprintf("the credential of team %q", other), "a credential that no other team has")
			continue
		}
		p.view.teams[hash] = team.Name
	}
	p.faults = append(p.faults, document.Faults()...)
}
