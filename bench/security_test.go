package bench_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"mangoloft/bench"
	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/peerpb"
	"mangoloft/standin"
)

// otherCredential is the credential of the second team.
const otherCredential = "shop-credential"

// addTeam publishes a second team and waits until all entry instances accept its
// credential.
func addTeam(ctx context.Context, t *testing.T, fleet *bench.Fleet) *bench.Caller {
	t.Helper()
	err := fleet.PutConfig(ctx, "teams/01", fmt.Sprintf(`{"teams": [{"name": "shop", "credential_sha256": %q}]}`, config.Hash([]byte(otherCredential))))
	assert.NilError(t, err)
	caller := bench.NewCaller(otherCredential)
	for _, p := range fleet.Entries {
		for caller.Call(ctx, p, bench.ReadClass, "hello", "").Reason == "unknown_team" {
			assert.NilError(t, ctx.Err())
			sleep(ctx, 20*time.Millisecond)
		}
	}
	return caller
}

// TestTeamsAreIsolated uses tickets, request IDs and stream references of one team
// with the credential of another. The response must be the same as for values that
// don't exist, so that it reveals nothing.
func TestTeamsAreIsolated(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Engines: 1, Services: 1, Step: time.Millisecond})
	owner, other := bench.NewCaller(bench.Credential), addTeam(ctx, t, fleet)
	ticket, err := owner.Mint(ctx, fleet.Entries[0], bench.PurchaseClass)
	assert.NilError(t, err)
	done := owner.Call(ctx, fleet.Entries[0], bench.PurchaseClass, "headset", ticket)
	assert.Assert(t, done.Completed(), "%+v", done)
	stream := &bench.Reader{Credential: bench.Credential}
	assert.NilError(t, stream.Begin(ctx, http.DefaultClient, fleet.Entries[0].Addr, bench.DraftClass, "output_tokens=20"))

	resume := func(reference string) func(*bench.Process) bench.Reply {
		return func(p *bench.Process) bench.Reply {
			return get(ctx, t, other, p, "/v1/completions", reference)
		}
	}
	explain := func(id string) func(*bench.Process) bench.Reply {
		return func(p *bench.Process) bench.Reply { return get(ctx, t, other, p, "/v1/requests/"+id, "") }
	}
	call := func(ticket string) func(*bench.Process) bench.Reply {
		return func(p *bench.Process) bench.Reply { return other.Call(ctx, p, bench.PurchaseClass, "headset", ticket) }
	}
	tests := map[string]struct {
		foreign, nonexistent func(*bench.Process) bench.Reply
	}{
		"a ticket":           {call(ticket), call("mt1.k1.e30.AAAA")},
		"a request":          {explain(done.RequestID), explain("r-AAAA")},
		"a stream's request": {explain(stream.RequestID), explain(done.RequestID[:len(done.RequestID)-1] + "B")},
		"a reference":        {resume(stream.Reference), nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, p := range fleet.Entries {
				reply := test.foreign(p)
				assert.Equal(t, reply.Verdict, "not_run", "%+v", reply)
				assert.Assert(t, !strings.Contains(reply.Body, "headset"), reply.Body)
				if test.nonexistent == nil {
					continue
				}
				nonexistent := test.nonexistent(p)
				assert.Equal(t, reply.Status, nonexistent.Status)
				assert.Equal(t, reply.Message, nonexistent.Message)
			}
		})
	}
	assert.Equal(t, runsOf(ctx, t, fleet, "headset"), 1)
	// The first team can still use its request ID and its ticket.
	assert.Equal(t, get(ctx, t, owner, fleet.Entries[1], "/v1/requests/"+done.RequestID, "").Status, http.StatusOK)
	assert.Equal(t, owner.Call(ctx, fleet.Entries[1], bench.PurchaseClass, "headset", ticket).Body, done.Body)
}

// get sends a GET request, with the stream reference unless it is empty.
func get(ctx context.Context, t *testing.T, c *bench.Caller, p *bench.Process, path, reference string) bench.Reply {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addr.String()+path, nil)
	assert.NilError(t, err)
	if reference != "" {
		request.Header.Set("Last-Event-ID", reference)
	}
	return c.Do(request)
}

// TestForgedRequestIDIsNotDialed requests the explanation of a request ID whose home
// is not an entry instance. Request IDs are not signed, so an instance must not
// connect to an address only because a request ID contains it.
func TestForgedRequestIDIsNotDialed(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 1, Services: 1})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var connections atomic.Int32
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			conn.Close()
		}
	})
	id := ident.Request{Home: ident.Home{Peer: listener.Addr().(*net.TCPAddr).AddrPort(), Incarnation: 1}, Sequence: 1}
	reply := get(ctx, t, bench.NewCaller(bench.Credential), fleet.Entries[0], "/v1/requests/"+id.String(), "")
	listener.Close()
	group.Wait()
	assert.Equal(t, reply.Status, http.StatusNotFound, "%+v", reply)
	assert.Equal(t, connections.Load(), int32(0))
}

// TestMalformedInput checks that invalid requests are refused with an appropriate
// status and a message, and have no effect.
func TestMalformedInput(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Services: 1, Step: time.Millisecond})
	known, p := bench.NewCaller(bench.Credential), fleet.Entries[0]
	ticket, err := known.Mint(ctx, p, bench.PurchaseClass)
	assert.NilError(t, err)
	purchase := "/v1/calls/" + bench.PurchaseClass
	tests := map[string]struct {
		caller             *bench.Caller
		path, body, ticket string
		status             int
	}{
		"no credential":                 {bench.NewCaller(""), purchase, "x", "", http.StatusUnauthorized},
		"an unknown credential":         {bench.NewCaller("guess"), purchase, "x", "", http.StatusUnauthorized},
		"an unknown class":              {known, "/v1/calls/none", "x", "", http.StatusNotFound},
		"an unknown path":               {known, "/v2/calls", "x", "", http.StatusNotFound},
		"a key that is not a ticket":    {known, purchase, "x", "my-key", http.StatusUnprocessableEntity},
		"an altered ticket":             {known, purchase, "x", ticket + "A", http.StatusUnprocessableEntity},
		"a body beyond the limit":       {known, purchase, strings.Repeat("x", 1<<20+1), "", http.StatusBadRequest},
		"a ticket for an unknown class": {known, "/v1/tickets", `{"class": "none"}`, "", http.StatusNotFound},
		"a ticket for a read":           {known, "/v1/tickets", fmt.Sprintf(`{"class": %q}`, bench.ReadClass), "", http.StatusNotFound},
		"a truncated ticket request":    {known, "/v1/tickets", `{"class": `, "", http.StatusBadRequest},
		"a truncated completion":        {known, "/v1/completions", `{"model": `, "", http.StatusBadRequest},
		"a binary completion":           {known, "/v1/completions", "\x00\xff", "", http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reply := test.caller.Post(ctx, p, test.path, test.body, test.ticket)
			assert.Equal(t, reply.Status, test.status, "%+v", reply)
			assert.Equal(t, reply.Verdict, "not_run", "%+v", reply)
			assert.Assert(t, reply.Message != "")
		})
	}
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(runs), 0)
}

// TestOpenRequestsAreBounded sends more concurrent requests than the settings allow.
// The excess requests must be refused and have no effect.
func TestOpenRequestsAreBounded(t *testing.T) {
	t.Parallel()
	const limit, callers = 4, 20
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 1, Services: 1, OpenRequests: limit})
	assert.NilError(t, fleet.SetFault(ctx, standin.Slow))
	caller, history := bench.NewCaller(bench.Credential), bench.NewChargeHistory()
	var refused, completed atomic.Int32
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			reply := history.Call(ctx, caller, fleet.Entries[0], fmt.Sprint("headset ", i), "", 0)
			switch {
			case reply.Completed():
				completed.Add(1)
			case reply.Verdict == "not_run" && reply.Reason == "overloaded" && reply.RetryAfter != "":
				refused.Add(1)
			default:
				t.Errorf("%+v", reply)
			}
		})
	}
	group.Wait()
	assert.Equal(t, refused.Load()+completed.Load(), int32(callers))
	assert.Assert(t, refused.Load() > 0 && completed.Load() >= limit, "%d requests were refused, %d completed; want some refused, and as many completed as the limit", refused.Load(), completed.Load())
	runs, err := fleet.Runs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(runs), int(completed.Load()))
	assert.NilError(t, history.Check(runs))
}

// TestPeersAuthenticateEachOther checks that entry instances with TLS reject peers
// without a certificate from their authority.
func TestPeersAuthenticateEachOther(t *testing.T) {
	t.Parallel()
	authority, err := bench.NewAuthority()
	assert.NilError(t, err)
	foreign, err := bench.NewAuthority()
	assert.NilError(t, err)
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Services: 1, Authority: authority})
	caller := bench.NewCaller(bench.Credential)
	ticket, err := caller.Mint(ctx, fleet.Entries[0], bench.PurchaseClass)
	assert.NilError(t, err)
	done := caller.Call(ctx, fleet.Entries[1], bench.PurchaseClass, "headset", ticket)
	assert.Assert(t, done.Completed(), "%+v", done)

	dir := t.TempDir()
	identity := func(name string, issuer *bench.Authority) tls.Certificate {
		assert.NilError(t, issuer.Issue(dir, name, fleet.Entries[0].IP))
		pair, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"))
		assert.NilError(t, err)
		return pair
	}
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(authority.PEM()))
	withTLS := func(certificates ...tls.Certificate) credentials.TransportCredentials {
		return credentials.NewTLS(&tls.Config{RootCAs: pool, Certificates: certificates})
	}
	tests := map[string]struct {
		transport credentials.TransportCredentials
		ok        bool
	}{
		"peer":                             {withTLS(identity("peer", authority)), true},
		"without TLS":                      {insecure.NewCredentials(), false},
		"without a certificate":            {withTLS(), false},
		"certificate of another authority": {withTLS(identity("foreign", foreign)), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := grpc.NewClient("passthrough:///"+fleet.Entries[0].PeerAddr.String(), grpc.WithTransportCredentials(test.transport))
			assert.NilError(t, err)
			defer conn.Close()
			callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			_, err = peerpb.NewPeerClient(conn).Explain(callCtx, &peerpb.ExplainRequest{RequestId: done.RequestID})
			assert.Equal(t, err == nil, test.ok, "%v", err)
		})
	}
}

// TestPeersRefuseAnImpostor starts a server with a certificate from another
// authority on the address of a killed peer. An instance must not forward a ticket
// to it.
func TestPeersRefuseAnImpostor(t *testing.T) {
	t.Parallel()
	authority, err := bench.NewAuthority()
	assert.NilError(t, err)
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Services: 1, Authority: authority})
	caller := bench.NewCaller(bench.Credential)
	ticket, err := caller.Mint(ctx, fleet.Entries[0], bench.PurchaseClass)
	assert.NilError(t, err)
	fleet.Entries[0].Kill()
	impostor := &impostor{}
	foreign, err := bench.NewAuthority()
	assert.NilError(t, err)
	dir := t.TempDir()
	assert.NilError(t, foreign.Issue(dir, "impostor", fleet.Entries[0].IP))
	transport, err := credentials.NewServerTLSFromFile(filepath.Join(dir, "impostor.crt"), filepath.Join(dir, "impostor.key"))
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", fleet.Entries[0].PeerAddr.String())
	assert.NilError(t, err)
	server := grpc.NewServer(grpc.Creds(transport))
	peerpb.RegisterPeerServer(server, impostor)
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) }) // Serve returns after Stop.
	defer group.Wait()
	defer server.Stop()
	reply := caller.Call(ctx, fleet.Entries[1], bench.PurchaseClass, "headset", ticket)
	assert.Equal(t, reply.Verdict+" "+reply.Reason, "may_have_run home_gone", "%+v", reply)
	assert.Equal(t, impostor.calls.Load(), int32(0))
}

// impostor is a peer server that responds to every ticket with the verdict not_run.
type impostor struct {
	peerpb.UnimplementedPeerServer
	calls atomic.Int32
}

func (i *impostor) RunTicket(context.Context, *peerpb.TicketRequest) (*peerpb.TicketReply, error) {
	i.calls.Add(1)
	return &peerpb.TicketReply{Outcome: &peerpb.Outcome{Verdict: "not_run", Reason: "overloaded"}}, nil
}

// TestKeysRotateWithoutRestart adds a new key to the key ring of running instances
// and later removes the old one. Tickets are signed with the first key of the ring
// and accepted with any of its keys.
func TestKeysRotateWithoutRestart(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 2, Services: 1})
	caller := bench.NewCaller(bench.Credential)
	mint := func(p *bench.Process) string {
		ticket, err := caller.Mint(ctx, p, bench.PurchaseClass)
		assert.NilError(t, err)
		return ticket
	}
	oldTicket := mint(fleet.Entries[0])
	assert.Assert(t, strings.HasPrefix(oldTicket, "mt1.k1."), oldTicket)
	assert.NilError(t, fleet.SetKeys("k1", "k2"))
	waitForTrail(ctx, t, fleet, `"keys":["k1","k2"]`)
	assert.NilError(t, fleet.SetKeys("k2", "k1"))
	waitForTrail(ctx, t, fleet, `"keys":["k2","k1"]`)
	newTicket := mint(fleet.Entries[0])
	assert.Assert(t, strings.HasPrefix(newTicket, "mt1.k2."), newTicket)
	done := caller.Call(ctx, fleet.Entries[1], bench.PurchaseClass, "old", oldTicket)
	assert.Assert(t, done.Completed(), "%+v", done)
	assert.NilError(t, fleet.SetKeys("k2"))
	waitForTrail(ctx, t, fleet, `"keys":["k2"]`)
	refused := caller.Call(ctx, fleet.Entries[1], bench.PurchaseClass, "old", oldTicket)
	assert.Equal(t, refused.Verdict+" "+refused.Reason, "not_run foreign_key")
	done = caller.Call(ctx, fleet.Entries[1], bench.PurchaseClass, "fresh", newTicket)
	assert.Assert(t, done.Completed(), "%+v", done)
}

// waitForTrail waits until the audit trail of every entry instance contains the
// text.
func waitForTrail(ctx context.Context, t *testing.T, fleet *bench.Fleet, text string) {
	t.Helper()
	for _, p := range fleet.Entries {
		for {
			content, err := os.ReadFile(fleet.TrailPath(p))
			assert.NilError(t, err)
			if strings.Contains(string(content), text) {
				break
			}
			assert.NilError(t, ctx.Err(), "the audit trail of %s does not contain %s", p.Name, text)
			sleep(ctx, 20*time.Millisecond)
		}
	}
}
