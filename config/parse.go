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

// Kind is the kind of the requests of a class.
type Kind uint8

const (
	// Stream is a generation whose tokens are relayed as they are produced.
	Stream Kind = iota
	// Read is an idempotent call to a service that is not an LLM engine.
	Read
	// Charge is a call to such a service that must not be repeated.
	Charge
)

var kindNames = [...]string{Stream: "stream", Read: "read", Charge: "charge"}

// String returns the kind's name as the configuration spells it.
func (k Kind) String() string { return kindNames[k] }

// Class is a class of requests with the targets that operators configured for it.
type Class struct {
	Name string
	Kind Kind
	// Pool is the name of the pool of upstreams that serve the class.
	Pool  string
	Model string
	// WaitTarget is the target for the time from arrival to the first token or
	// response; zero if the class has none.
	WaitTarget time.Duration
	// PaceTarget is the target for the time between tokens; zero if the class has none.
	PaceTarget time.Duration
	// MaxOutputTokens is the maximum number of output tokens of one request.
	MaxOutputTokens int
}

// Pool is a set of upstreams that serve the same classes.
type Pool struct {
	Name string
	// ChecksFencing reports whether the pool's engines reject orders with an outdated
	// fencing number.
	ChecksFencing bool
}

// View is a parsed and validated configuration. It is immutable.
type View struct {
	Version uint64
	Digest  string
	Classes map[string]Class
	Pools   map[string]Pool
	teams   map[[sha256.Size]byte]string
	// values contains the parsed values by key.
	values map[string]parsedValue
}

// Team returns the name of the team that the credential belongs to.
func (v *View) Team(credential string) (string, bool) {
	name, ok := v.teams[sha256.Sum256([]byte(credential))]
	return name, ok
}

// Teams returns the number of teams. A team counts once for each of its credentials.
func (v *View) Teams() int { return len(v.teams) }

const (
	// MaxValueBytes is the size of the largest value that the configuration service
	// stores.
	MaxValueBytes = 1 << 20
	// MaxDocumentBytes is the maximum total size of all values.
	MaxDocumentBytes = 12 << 20
	// MaxKeys is the maximum number of values.
	MaxKeys = 4096
	// maxOutputTokens is the largest max_output_tokens of a class, and its default.
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
	CredentialSHA256 string `json:"credential_sha256" jsonc:"hidden"`
}

// parsedValue is the content of one value. Parsed values are reused while the value
// is unchanged, so that a small change of a large configuration is cheap.
type parsedValue struct {
	sha256 string
	faults jsonc.Faults
	class  Class
	pool   Pool
	teams  []team
	// needsPool is true for a class, because its pool must also be published.
	needsPool bool
}

// team is one credential of a team.
type team struct {
	name       string
	credential [sha256.Size]byte
	// index is the team's position in the value's list.
	index int
}

// Parse parses and validates the whole document. The result depends only on the
// document, so all instances agree on whether it is valid. The faults are sorted.
func Parse(doc Document) (*View, jsonc.Faults) { return ParseIncremental(doc, nil) }

// ParseIncremental is Parse, but reuses the unchanged values of an older view. The
// result is the same.
func ParseIncremental(doc Document, older *View) (*View, jsonc.Faults) {
	if faults := checkSize(doc); len(faults) > 0 {
		return nil, faults
	}
	p := newParser(doc)
	for _, key := range p.keys {
		p.view.values[key] = p.parsedValue(key, older)
	}
	if older == nil || !p.patchTeams(older) {
		p.collectTeams()
	}
	for _, key := range p.keys {
		p.add(p.view.values[key])
	}
	for key, v := range p.view.values {
		if _, ok := p.view.Pools[v.class.Pool]; v.needsPool && !ok {
			p.addConflict(key, &classWire{}, "pool", fmt.Sprintf("%q", v.class.Pool), "the name of a published pool")
		}
	}
	if len(p.faults) > 0 {
		p.faults.Sort()
		return nil, p.faults
	}
	return p.view, nil
}

// checkSize returns a fault if the document is too large to send to a peer in one
// message.
func checkSize(doc Document) jsonc.Faults {
	total := 0
	for _, value := range doc.Values {
		total += len(value)
	}
	switch {
	case len(doc.Index.Values) > MaxKeys:
		return jsonc.Faults{newFault("index", "(keys)", fmt.Sprint(len(doc.Index.Values)), fmt.Sprint("at most ", MaxKeys))}
	case total > MaxDocumentBytes:
		return jsonc.Faults{newFault("index", "(values)", fmt.Sprint(total, " bytes"), fmt.Sprint("at most ", MaxDocumentBytes))}
	}
	return nil
}

// parser collects the parsed values and the faults of a document.
type parser struct {
	doc Document
	// keys are sorted, so that all instances report a conflict between two values at
	// the same value.
	keys   []string
	view   *View
	faults jsonc.Faults
}

func newParser(doc Document) *parser {
	return &parser{doc: doc, keys: slices.Sorted(maps.Keys(doc.Index.Values)), view: &View{
		Version: doc.Index.Version, Digest: doc.Index.Digest(),
		Classes: map[string]Class{}, Pools: map[string]Pool{},
		values: make(map[string]parsedValue, len(doc.Index.Values)),
	}}
}

// patchTeams copies the teams of the older view and applies the changed values, which
// is cheap when few values changed. It returns false without an effect if a
// credential occurs twice: the result then depends on the order of the keys.
func (p *parser) patchTeams(older *View) bool {
	teams := maps.Clone(older.teams)
	for key, v := range older.values {
		if p.view.values[key].sha256 != v.sha256 {
			for _, t := range v.teams {
				delete(teams, t.credential)
			}
		}
	}
	count := 0
	for key, v := range p.view.values {
		count += len(v.teams)
		if older.values[key].sha256 == v.sha256 {
			continue
		}
		for _, t := range v.teams {
			teams[t.credential] = t.name
		}
	}
	if len(teams) != count {
		return false
	}
	p.view.teams = teams
	return true
}

// collectTeams collects the teams of all values, and adds a fault for each credential
// that two teams share.
func (p *parser) collectTeams() {
	p.view.teams = map[[sha256.Size]byte]string{}
	for _, key := range p.keys {
		for _, t := range p.view.values[key].teams {
			if owner, found := p.view.teams[t.credential]; found && owner != t.name {
				p.addConflict(key, &teamsWire{}, credentialField(t.index), fmt.Sprintf("the credential of team %q", owner), "a credential that no other team has")
				continue
			}
			p.view.teams[t.credential] = t.name
		}
	}
}

func newFault(key, field, found, allowed string) jsonc.Fault {
	return jsonc.Fault{File: key, Line: 1, Column: 1, Field: field, Found: found, Allowed: allowed}
}

// addConflict adds a fault that depends on two values. It decodes the value at key
// again to find the position of the field.
func (p *parser) addConflict(key string, wire any, field, found, allowed string) {
	document := jsonc.DecodeDocument(key, p.doc.Values[key], wire)
	// Faults are sorted by position, so the new one may be anywhere among them.
	knownFaults := slices.Clone(document.Faults())
	document.AddFault(field, document.FoundText(field, found), allowed)
	for _, fault := range document.Faults() {
		if !slices.Contains(knownFaults, fault) {
			p.faults = append(p.faults, fault)
		}
	}
}

// parsedValue parses the value at key, or returns it from the older view if it is
// unchanged.
func (p *parser) parsedValue(key string, older *View) parsedValue {
	entry := p.doc.Index.Values[key]
	value, ok := p.doc.Values[key]
	var v parsedValue
	switch {
	case !ok:
		v.addFault(key, "(value)", "nothing", "a value for each key in the index")
		return v
	case len(value) > MaxValueBytes:
		v.addFault(key, "(value)", fmt.Sprint("more than ", MaxValueBytes, " bytes"), fmt.Sprint("at most ", MaxValueBytes))
		return v
	}
	if older != nil {
		if reused, ok := older.values[key]; ok && reused.sha256 == entry.SHA256 {
			return reused
		}
	}
	if Hash(value) != entry.SHA256 {
		v.addFault(key, "(value)", "a value with another hash", "the value whose hash is in the index")
		return v
	}
	v.sha256 = entry.SHA256
	v.parse(key, value)
	return v
}

func (v *parsedValue) addFault(key, field, found, allowed string) {
	v.faults = append(v.faults, newFault(key, field, found, allowed))
}

// add adds a parsed value's class or pool to the view, and its faults to the parser.
func (p *parser) add(v parsedValue) {
	p.faults = append(p.faults, v.faults...)
	switch {
	case v.class.Name != "":
		p.view.Classes[v.class.Name] = v.class
	case v.pool.Name != "":
		p.view.Pools[v.pool.Name] = v.pool
	}
}

func credentialField(index int) string { return fmt.Sprintf("teams[%d].credential_sha256", index) }

func (v *parsedValue) parse(key string, value []byte) {
	group, name, _ := strings.Cut(key, "/")
	if name == "" {
		v.addFault(key, "(key)", fmt.Sprintf("%q", key), "classes/, pools/ or teams/ and a name")
		return
	}
	switch group {
	case "classes":
		v.parseClass(key, name, value)
	case "pools":
		var wire poolWire
		v.faults = append(v.faults, jsonc.Decode(key, value, &wire)...)
		v.pool = Pool{Name: name, ChecksFencing: wire.ChecksFencing}
	case "teams":
		v.parseTeams(key, value)
	default:
		v.addFault(key, "(key)", fmt.Sprintf("%q", key), "classes/, pools/ or teams/ and a name")
	}
}

func (v *parsedValue) parseClass(key, name string, value []byte) {
	var wire classWire
	document := jsonc.DecodeDocument(key, value, &wire)
	v.needsPool = true
	kind := slices.Index(kindNames[:], wire.Kind)
	if kind < 0 {
		document.AddFault("kind", document.FoundText("kind", fmt.Sprintf("%q", wire.Kind)), strings.Join(kindNames[:], ", "))
	}
	if kind == int(Stream) && wire.Model == "" {
		document.AddFault("model", "nothing", "the name of a model")
	}
	for field, ms := range map[string]int64{"target.wait_ms": wire.Target.WaitMS, "target.pace_ms": wire.Target.PaceMS} {
		if ms < 0 || ms > maxTarget.Milliseconds() {
			document.AddFault(field, fmt.Sprint(ms), fmt.Sprint("0 (no target) to ", maxTarget.Milliseconds()))
		}
	}
	if wire.MaxOutputTokens < 0 || wire.MaxOutputTokens > maxOutputTokens {
		document.AddFault("max_output_tokens", fmt.Sprint(wire.MaxOutputTokens), fmt.Sprint("0 (the largest) to ", maxOutputTokens))
	}
	if wire.MaxOutputTokens == 0 {
		wire.MaxOutputTokens = maxOutputTokens
	}
	v.faults = append(v.faults, document.Faults()...)
	v.class = Class{
		Name: name, Kind: Kind(max(kind, 0)), Pool: wire.Pool, Model: wire.Model,
		WaitTarget:      time.Duration(wire.Target.WaitMS) * time.Millisecond,
		PaceTarget:      time.Duration(wire.Target.PaceMS) * time.Millisecond,
		MaxOutputTokens: wire.MaxOutputTokens,
	}
}

func (v *parsedValue) parseTeams(key string, value []byte) {
	var wire teamsWire
	document := jsonc.DecodeDocument(key, value, &wire)
	for i, t := range wire.Teams {
		if t.Name == "" {
			document.AddFault(fmt.Sprintf("teams[%d].name", i), "nothing", "a name")
		}
		// The hash is not shown, because by mistake it may be the credential itself.
		raw, err := hex.DecodeString(t.CredentialSHA256)
		if err != nil || len(raw) != sha256.Size {
			document.AddFault(credentialField(i), fmt.Sprint(len(t.CredentialSHA256), " characters"), "the SHA-256 of the team's credential, 64 hexadecimal digits")
			continue
		}
		v.teams = append(v.teams, team{t.Name, [sha256.Size]byte(raw), i})
	}
	v.faults = append(v.faults, document.Faults()...)
}
