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
	// WaitTarget is the target from arrival to the first token or answer; zero when
	// the class has none.
	WaitTarget time.Duration
	// PaceTarget is the target between tokens; zero when the class has none.
	PaceTarget time.Duration
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
	// fragments holds what each value says, by key.
	fragments map[string]fragment
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
	// MaxDocumentBytes bounds all values together.
	MaxDocumentBytes = 12 << 20
	// MaxKeys bounds the number of values.
	MaxKeys = 4096
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
	CredentialSHA256 string `json:"credential_sha256" jsonc:"hidden"`
}

// fragment is what one value says. Fragments of unchanged values are used
// again, so that a small change of a large configuration costs little.
type fragment struct {
	sha256 string
	faults jsonc.Faults
	class  Class
	pool   Pool
	teams  []team
	// wantsPool is set for a class, whose pool must be published.
	wantsPool bool
}

// team is one team's place in the configuration.
type team struct {
	name       string
	credential [sha256.Size]byte
	// index is the team's place in the value.
	index int
}

// Parse checks the whole document. All instances come to the same verdict on
// it, because nothing but the document goes in. The faults are sorted.
func Parse(doc Document) (*View, jsonc.Faults) { return ParseIncremental(doc, nil) }

// ParseIncremental is Parse, with an older view that saves the work on values that
// did not change. It never alters the verdict.
func ParseIncremental(doc Document, older *View) (*View, jsonc.Faults) {
	if faults := checkSize(doc); len(faults) > 0 {
		return nil, faults
	}
	p := newParser(doc)
	for _, key := range p.keys {
		p.view.fragments[key] = p.fragment(key, older)
	}
	if older == nil || !p.patchTeams(older) {
		p.collectTeams()
	}
	for _, key := range p.keys {
		p.add(p.view.fragments[key])
	}
	for key, f := range p.view.fragments {
		if _, ok := p.view.Pools[f.class.Pool]; f.wantsPool && !ok {
			p.clash(key, &classWire{}, "pool", fmt.Sprintf("%q", f.class.Pool), "the name of a published pool")
		}
	}
	if len(p.faults) > 0 {
		p.faults.Sort()
		return nil, p.faults
	}
	return p.view, nil
}

// checkSize refuses what could not be passed on to a peer in one message.
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

type parser struct {
	doc Document
	// keys are in order: where two values clash, every instance blames the
	// same one.
	keys   []string
	view   *View
	faults jsonc.Faults
}

func newParser(doc Document) *parser {
	return &parser{doc: doc, keys: slices.Sorted(maps.Keys(doc.Index.Values)), view: &View{
		Version: doc.Index.Version, Digest: doc.Index.Digest(),
		Classes: map[string]Class{}, Pools: map[string]Pool{},
		fragments: make(map[string]fragment, len(doc.Index.Values)),
	}}
}

// patchTeams takes the older teams over and changes what changed, which costs
// little when that is one value of many. It reports false, and has changed
// nothing, when a credential is in two places: then the order matters.
func (p *parser) patchTeams(older *View) bool {
	teams := maps.Clone(older.teams)
	for key, f := range older.fragments {
		if p.view.fragments[key].sha256 != f.sha256 {
			for _, t := range f.teams {
				delete(teams, t.credential)
			}
		}
	}
	count := 0
	for key, f := range p.view.fragments {
		count += len(f.teams)
		if older.fragments[key].sha256 == f.sha256 {
			continue
		}
		for _, t := range f.teams {
			teams[t.credential] = t.name
		}
	}
	if len(teams) != count {
		return false
	}
	p.view.teams = teams
	return true
}

// collectTeams puts the teams of all values together.
func (p *parser) collectTeams() {
	p.view.teams = map[[sha256.Size]byte]string{}
	for _, key := range p.keys {
		for _, t := range p.view.fragments[key].teams {
			if other, taken := p.view.teams[t.credential]; taken && other != t.name {
				p.clash(key, &teamsWire{}, credentialField(t.index), fmt.Sprintf("the credential of team %q", other), "a credential that no other team has")
				continue
			}
			p.view.teams[t.credential] = t.name
		}
	}
}

func newFault(key, field, found, allowed string) jsonc.Fault {
	return jsonc.Fault{File: key, Line: 1, Column: 1, Field: field, Found: found, Allowed: allowed}
}

// clash reports a fault between two values at its place in one of them, which
// is read again for that.
func (p *parser) clash(key string, wire any, field, found, allowed string) {
	document := jsonc.DecodeDocument(key, p.doc.Values[key], wire)
	// Faults are in the order of their places, so the new one may be anywhere.
	known := slices.Clone(document.Faults())
	document.AddFault(field, document.FoundText(field, found), allowed)
	for _, fault := range document.Faults() {
		if !slices.Contains(known, fault) {
			p.faults = append(p.faults, fault)
		}
	}
}

// fragment returns what the value says, as parsed before if it is unchanged.
func (p *parser) fragment(key string, older *View) fragment {
	entry := p.doc.Index.Values[key]
	value, ok := p.doc.Values[key]
	var f fragment
	switch {
	case !ok:
		f.fault(key, "(value)", "nothing", "a value for each key in the index")
		return f
	case len(value) > MaxValueBytes:
		f.fault(key, "(value)", fmt.Sprint("more than ", MaxValueBytes, " bytes"), fmt.Sprint("at most ", MaxValueBytes))
		return f
	}
	if older != nil {
		if known, ok := older.fragments[key]; ok && known.sha256 == entry.SHA256 {
			return known
		}
	}
	if Hash(value) != entry.SHA256 {
		f.fault(key, "(value)", "another hash", "the bytes that the index names")
		return f
	}
	f.sha256 = entry.SHA256
	f.parse(key, value)
	return f
}

func (f *fragment) fault(key, field, found, allowed string) {
	f.faults = append(f.faults, newFault(key, field, found, allowed))
}

// add puts a fragment's class or pool into the view.
func (p *parser) add(f fragment) {
	p.faults = append(p.faults, f.faults...)
	switch {
	case f.class.Name != "":
		p.view.Classes[f.class.Name] = f.class
	case f.pool.Name != "":
		p.view.Pools[f.pool.Name] = f.pool
	}
}

func credentialField(index int) string { return fmt.Sprintf("teams[%d].credential_sha256", index) }

func (f *fragment) parse(key string, value []byte) {
	group, name, _ := strings.Cut(key, "/")
	if name == "" {
		f.fault(key, "(key)", fmt.Sprintf("%q", key), "classes/, pools/ or teams/ and a name")
		return
	}
	switch group {
	case "classes":
		f.parseClass(key, name, value)
	case "pools":
		var wire poolWire
		f.faults = append(f.faults, jsonc.Decode(key, value, &wire)...)
		f.pool = Pool{Name: name, ChecksFencing: wire.ChecksFencing}
	case "teams":
		f.parseTeams(key, value)
	default:
		f.fault(key, "(key)", fmt.Sprintf("%q", key), "classes/, pools/ or teams/ and a name")
	}
}

func (f *fragment) parseClass(key, name string, value []byte) {
	var wire classWire
	document := jsonc.DecodeDocument(key, value, &wire)
	f.wantsPool = true
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
	f.faults = append(f.faults, document.Faults()...)
	f.class = Class{
		Name: name, Kind: Kind(max(kind, 0)), Pool: wire.Pool, Model: wire.Model,
		WaitTarget:      time.Duration(wire.Target.WaitMS) * time.Millisecond,
		PaceTarget:      time.Duration(wire.Target.PaceMS) * time.Millisecond,
		MaxOutputTokens: wire.MaxOutputTokens,
	}
}

func (f *fragment) parseTeams(key string, value []byte) {
	var wire teamsWire
	document := jsonc.DecodeDocument(key, value, &wire)
	for i, t := range wire.Teams {
		if t.Name == "" {
			document.AddFault(fmt.Sprintf("teams[%d].name", i), "nothing", "a name")
		}
		// The hash is not shown: by mistake it may be the credential itself.
		raw, err := hex.DecodeString(t.CredentialSHA256)
		if err != nil || len(raw) != sha256.Size {
			document.AddFault(credentialField(i), fmt.Sprint(len(t.CredentialSHA256), " characters"), "the SHA-256 of the team's credential, 64 hexadecimal digits")
			continue
		}
		f.teams = append(f.teams, team{t.Name, [sha256.Size]byte(raw), i})
	}
	f.faults = append(f.faults, document.Faults()...)
}
