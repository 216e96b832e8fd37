package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// bin is the directory with the programs, which are built once for all tests.
var bin string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mangoloft-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	command := exec.Command("go", "build", "-o", dir, "mangoloft/cmd/mangoloft", "mangoloft/cmd/standin")
	if output, err := command.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", output, err)
		return 1
	}
	bin = dir
	return m.Run()
}

// result is the exit code and output of the program.
type result struct {
	code           int
	stdout, stderr string
}

// mangoloft runs the program until it exits.
func mangoloft(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(bin, "mangoloft"), args...)
	var stdout, stderr bytes.Buffer
	command.Stdin, command.Stdout, command.Stderr = strings.NewReader(stdin), &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return result{command.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

// expect runs the program, checks its exit code and a part of its output, and
// returns the output.
func expect(t *testing.T, code int, part string, args ...string) string {
	t.Helper()
	r := mangoloft(t, "", args...)
	output := r.stdout + r.stderr
	assert.Equal(t, r.code, code, output)
	assert.Assert(t, strings.Contains(output, part), "the output must contain %q:\n%s", part, output)
	return output
}

// TestExitCodes checks the exit code and a part of the output of commands that need
// no running instance.
func TestExitCodes(t *testing.T) {
	closed := bench.UnusedAddr().String()
	id := "r-fwAAARtYAAAAAAAAAAEAAAAAAAAAAQ"
	for name, c := range map[string]struct {
		code int
		part string
		args []string
	}{
		"help":                               {0, "Exit codes: 0 done", []string{"--help"}},
		"help of a command":                  {0, "--settings SETTINGS", []string{"serve", "--help"}},
		"help of check":                      {0, "--kind KIND", []string{"check", "--help"}},
		"version":                            {0, "mangoloft ", []string{"version"}},
		"no command":                         {2, "name a command", nil},
		"unknown command":                    {2, "invalid subcommand: frob", []string{"frob"}},
		"unknown option":                     {2, "unknown argument --frob", []string{"status", "--frob"}},
		"no settings":                        {2, "SETTINGS is required", []string{"serve"}},
		"missing settings file":              {2, "no such file", []string{"serve", "--settings", "none.json"}},
		"faulty settings":                    {2, "whole.json:4:2: [\"classes/voyage_briefing\"]: found unknown field", []string{"serve", "--settings", "../../samples/whole.json"}},
		"check without a file":               {2, "FILE is required", []string{"check"}},
		"check of a missing file":            {2, "no such file", []string{"check", "none.json"}},
		"check of the samples":               {0, "a good configuration", []string{"check", "../../samples/settings.json", "../../samples/configuration"}},
		"check of faulty settings":           {1, "unknown field", []string{"check", "--kind", "settings", "../../samples/whole.json"}},
		"unknown kind":                       {2, "the kind is", []string{"check", "--kind", "x", "y"}},
		"malformed id":                       {2, "\"r-1\" is not a request id", []string{"explain", "--operators", closed, "r-1"}},
		"malformed address":                  {2, "--operators", []string{"status", "--operators", "localhost"}},
		"status of an unreachable instance":  {2, "no answer from " + closed + ", which should", []string{"status", "--operators", closed}},
		"explain by an unreachable instance": {2, "no answer from " + closed, []string{"explain", "--operators", closed, id}},
	} {
		t.Run(name, func(t *testing.T) { expect(t, c.code, c.part, c.args...) })
	}
}

func TestCheckStandardInput(t *testing.T) {
	r := mangoloft(t, `{"pools/p": {"x": 1}}`, "check", "-")
	assert.Equal(t, r.code, 1)
	assert.Equal(t, r.stderr, "standard input:1:14: [\"pools/p\"].x: found unknown field \"x\"; allowed: the fields checks_fencing\n")
}

// newSettings writes the settings of an instance whose platform is unreachable. It
// returns their path and the addresses of the listeners. The port of the listener
// with the name busy is in use.
func newSettings(t *testing.T, busy, extra string) (path string, addrs map[string]string) {
	t.Helper()
	addrs = map[string]string{}
	for _, name := range []string{"callers", "peers", "operators"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addrs[name] = listener.Addr().String()
		t.Cleanup(func() { listener.Close() })
		if name != busy {
			defer listener.Close()
		}
	}
	dir := t.TempDir()
	settings := fmt.Sprintf(`{
		"instance": "e", "data_centre": "dc1", "listen": {"callers": %q, "peers": %q, "operators": %q}, %s
		"platform": {"configuration": "127.0.0.1:1", "instance_list": "127.0.0.1:1"}, "keys": [{"id": "k", "secret_file": "secret"}],
	}`, addrs["callers"], addrs["peers"], addrs["operators"], extra)
	path = filepath.Join(dir, "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "secret"), bytes.Repeat([]byte("k"), 32), 0o600))
	return path, addrs
}

// TestBusyPort checks that an instance that can't listen exits with an error that
// names the address.
func TestBusyPort(t *testing.T) {
	for _, busy := range []string{"callers", "peers", "operators"} {
		t.Run(busy, func(t *testing.T) {
			path, addrs := newSettings(t, busy, "")
			expect(t, 1, "listen tcp "+addrs[busy], "serve", "--settings", path)
		})
	}
}

// TestStatusOverTLS checks the status command against an instance whose listener for
// operators uses TLS and requires client certificates.
func TestStatusOverTLS(t *testing.T) {
	path, addrs := newSettings(t, "", `"tls": {"operators": {"certificate_file": "e.crt", "key_file": "e.key", "ca_file": "ca.crt"}},`)
	dir := filepath.Dir(path)
	for _, name := range []string{"ca", "other"} {
		authority, err := bench.NewAuthority()
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name+".crt"), authority.PEM(), 0o600))
		if name == "ca" {
			assert.NilError(t, authority.Issue(dir, "e", netip.MustParseAddr("127.0.0.1")))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(bin, "mangoloft"), "serve", "--settings", path)
	assert.NilError(t, command.Start())
	defer func() { _ = command.Process.Kill(); _ = command.Wait() }()
	status := []string{"status", "--operators", addrs["operators"]}
	identity := []string{"--certificate", filepath.Join(dir, "e.crt"), "--key", filepath.Join(dir, "e.key")}
	statusWithCA := func(authority string, options ...string) []string {
		return slices.Concat(status, []string{"--ca", filepath.Join(dir, authority)}, options)
	}
	for mangoloft(t, "", status...).code == 2 {
		assert.NilError(t, ctx.Err(), "the instance must listen")
		time.Sleep(20 * time.Millisecond)
	}
	expect(t, 0, "e in dc1", statusWithCA("ca.crt", identity...)...)
	expect(t, 1, "it accepts TLS only", status...)
	expect(t, 2, "certificate required", statusWithCA("ca.crt")...)
	expect(t, 2, "unknown authority", statusWithCA("other.crt", identity...)...)
	expect(t, 2, "holds no certificate", statusWithCA("e.key", identity...)...)
	expect(t, 2, "no such file", statusWithCA("none.crt", identity...)...)
}

// TestCommandsOnFleet checks the commands against a running fleet, and the trails and
// logs of the fleet.
func TestCommandsOnFleet(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	plan := bench.Plan{Bin: bin, Dir: t.TempDir(), DataCentres: 1, Entries: 2, Engines: 1, Services: 1, Step: time.Millisecond}
	fleet, err := bench.Start(ctx, plan)
	defer fleet.Close()
	assert.NilError(t, err)
	first, second := fleet.Entries[0], fleet.Entries[1]
	operators := first.OperatorAddr.String()
	waitReady(ctx, t, fleet, first.OperatorAddr)

	t.Run("status", func(t *testing.T) {
		expect(t, 0, "peers alive    1", "status", "--operators", operators)
		expect(t, 0, second.Name+"  dc1 ", "status", "--operators", operators)
		var status struct {
			Instance string `json:"instance"`
		}
		assert.NilError(t, json.Unmarshal([]byte(expect(t, 0, "{", "status", "--json", "--operators", operators)), &status))
		assert.Equal(t, status.Instance, first.Name)
	})
	r := &bench.Reader{Credential: bench.Credential}
	assert.NilError(t, r.Begin(ctx, http.DefaultClient, first.Addr, bench.DraftClass, "output_tokens=20 "+promptMarker))
	assert.Assert(t, r.Done, r.Failure)
	t.Run("explain", func(t *testing.T) {
		// The request can be explained by its home and by any other instance.
		expect(t, 0, "request "+r.RequestID+": ran, completed", "explain", "--operators", second.OperatorAddr.String(), r.RequestID)
		expect(t, 0, "20 tokens delivered", "explain", "--operators", operators, r.RequestID)
		expect(t, 0, `"reason":"completed"`, "explain", "--json", "--operators", operators, r.RequestID)
		_, err := fleet.Get(ctx, "http://"+operators+"/requests/r-1")
		assert.ErrorContains(t, err, "400")
		expect(t, 1, "no record of it", "explain", "--operators", operators, r.RequestID[:len(r.RequestID)-4]+"AAAA")
	})
	t.Run("metrics", func(t *testing.T) {
		content, err := fleet.Get(ctx, "http://"+operators+"/debug/vars")
		assert.NilError(t, err)
		var values struct {
			Requests map[string]int `json:"requests_ended"`
			Tokens   int            `json:"tokens_relayed"`
		}
		assert.NilError(t, json.Unmarshal(content, &values))
		assert.Equal(t, values.Requests["ran.completed"], 1)
		assert.Equal(t, values.Tokens, 20)
	})
	t.Run("examples", func(t *testing.T) { runExamples(ctx, t, first.Addr) })
	t.Run("trail", func(t *testing.T) {
		var status struct {
			Audit struct {
				Hash string `json:"hash"`
			} `json:"audit"`
		}
		assert.NilError(t, json.Unmarshal([]byte(expect(t, 0, "{", "status", "--json", "--operators", operators)), &status))
		assert.NilError(t, first.Stop(ctx))
		expect(t, 1, " answers: the request's home does not answer", "explain", "--operators", second.OperatorAddr.String(), r.RequestID)
		path := filepath.Join(plan.Dir, first.Name+".trail")
		output := expect(t, 0, "a whole trail", "check", "--head", status.Audit.Hash, path)
		expect(t, 1, "truncated", "check", "--head", strings.Repeat("0", 64), path)
		assert.Assert(t, !strings.Contains(output, "has no end"), output)
		content, err := os.ReadFile(path)
		assert.NilError(t, err)
		edited := strings.Replace(string(content), `"team":"reef"`, `"team":"leaf"`, 1)
		tampered := mangoloft(t, edited, "check", "-")
		assert.Equal(t, tampered.code, 1)
		assert.Assert(t, strings.Contains(tampered.stderr, ": edited: "+first.Name), tampered.stderr)
		checkFields(t, content)
	})
	t.Run("no private data in outputs", func(t *testing.T) { checkPrivacy(t, plan.Dir) })
	t.Run("closed output", func(t *testing.T) { checkClosedOutput(ctx, t, fleet, second, plan.Dir) })
}

var (
	exampleBlock   = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")
	expectedOutput = regexp.MustCompile(`(?m)^# prints: (.*)$`)
)

// runExamples runs every example of docs/API.md against the instance. The output
// must contain the text after "# prints:" in the example.
func runExamples(ctx context.Context, t *testing.T, callers netip.AddrPort) {
	t.Helper()
	page, err := os.ReadFile("../../docs/API.md")
	assert.NilError(t, err)
	examples := exampleBlock.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(examples) >= 6, "the page has %d examples, want at least 6", len(examples))
	for _, match := range examples {
		want := expectedOutput.FindStringSubmatch(match[1])
		assert.Assert(t, want != nil, "each example must have a line \"# prints:\":\n%s", match[1])
		command := exec.CommandContext(ctx, "sh", "-eu", "-c", match[1])
		command.Env = append(os.Environ(), "MANGOLOFT=http://"+callers.String(), "CREDENTIAL="+bench.Credential)
		output, err := command.CombinedOutput()
		assert.NilError(t, err, "%s\n%s", match[1], output)
		assert.Assert(t, strings.Contains(string(output), want[1]), "%s\n%s", match[1], output)
	}
}

// checkFields checks that docs/EVENTS.md names every field of the trail's records.
func checkFields(t *testing.T, trail []byte) {
	t.Helper()
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	for line := range strings.Lines(string(trail)) {
		var wire struct {
			Event  int                        `json:"event"`
			Name   string                     `json:"name"`
			Record map[string]json.RawMessage `json:"record"`
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &wire))
		_, section, found := strings.Cut(string(page), fmt.Sprintf("### %d %s\n", wire.Event, wire.Name))
		assert.Assert(t, found, line)
		section, _, _ = strings.Cut(section, "\n### ")
		for field := range wire.Record {
			assert.Assert(t, strings.Contains(section, "`"+field+"`"), "the section of %s must name %s", wire.Name, field)
		}
	}
}

// promptMarker is a part of a prompt that must not appear in any output.
const promptMarker = "passage-notes-4711"

// checkPrivacy checks that no trail or log contains a prompt, the body of a call, a
// credential or a secret.
func checkPrivacy(t *testing.T, dir string) {
	t.Helper()
	secret, err := os.ReadFile(filepath.Join(dir, "key"))
	assert.NilError(t, err)
	outputs, err := filepath.Glob(filepath.Join(dir, "entry-*.[tl]*"))
	assert.NilError(t, err)
	assert.Equal(t, len(outputs), 4, "want two trails and two logs")
	for _, output := range outputs {
		content, err := os.ReadFile(output)
		assert.NilError(t, err)
		assert.Assert(t, len(content) > 0, output)
		for _, private := range []string{promptMarker, "headset 9", bench.Credential, string(secret)} {
			assert.Assert(t, !bytes.Contains(content, []byte(private)), "%s must not contain %q", output, private)
		}
	}
}

// checkClosedOutput replaces p with an instance whose standard output and error are
// pipes without a reader, and checks that the instance serves a request and stops.
func checkClosedOutput(ctx context.Context, t *testing.T, fleet *bench.Fleet, p *bench.Process, dir string) {
	t.Helper()
	p.Kill()
	expect(t, 0, "the trail has no end", "check", filepath.Join(dir, p.Name+".trail"))
	command := exec.CommandContext(ctx, filepath.Join(bin, "mangoloft"), "serve", "--settings", filepath.Join(dir, p.Name+".json"))
	for _, output := range []*io.Writer{&command.Stdout, &command.Stderr} {
		reader, writer, err := os.Pipe()
		assert.NilError(t, err)
		reader.Close()
		defer writer.Close()
		*output = writer
	}
	assert.NilError(t, command.Start())
	defer func() { _ = command.Process.Kill() }()
	waitReady(ctx, t, fleet, p.OperatorAddr)
	r := &bench.Reader{Credential: bench.Credential}
	assert.NilError(t, r.Begin(ctx, http.DefaultClient, p.Addr, bench.DraftClass, "output_tokens=20"))
	assert.Assert(t, r.Done && len(r.Texts) == 20, r.Failure)
	assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, command.Wait())
}

// waitReady waits until the instance is ready and has upstreams.
func waitReady(ctx context.Context, t *testing.T, fleet *bench.Fleet, operators netip.AddrPort) {
	t.Helper()
	for {
		content, err := fleet.Get(ctx, "http://"+operators.String()+"/status")
		if err == nil && bytes.Contains(content, []byte(`"ready":true`)) && bytes.Contains(content, []byte(`"upstreams":[{`)) {
			return
		}
		assert.NilError(t, ctx.Err(), "the instance must become ready")
		time.Sleep(20 * time.Millisecond)
	}
}
