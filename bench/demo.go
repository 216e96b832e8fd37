package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/operator"
)

// errEnough stops the reading of a stream early.
var errEnough = errorx.Interrupted.New("enough tokens")

// Demo starts a fleet in two data centres, sends it some requests and stops it. The
// command make run calls it.
func Demo(ctx context.Context, bin string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "mangoloft-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Fprintln(out, "starting 4 entry instances, 4 engines and 2 services in 2 data centres")
	fleet, err := Start(ctx, Plan{Bin: bin, Dir: dir, DataCentres: 2, Entries: 2, Engines: 2, Services: 1, Step: 10 * time.Millisecond})
	defer fleet.Close()
	if err != nil {
		return err
	}
	d := &demo{fleet, &http.Client{}, out}
	for _, step := range []func(context.Context) error{d.draft, d.read, d.purchase, d.killEntry} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

type demo struct {
	*Fleet
	client *http.Client
	out    io.Writer
}

func (d *demo) draft(ctx context.Context) error {
	fmt.Fprintln(d.out, "\na profile draft of 100 tokens:")
	r := &Reader{Credential: Credential}
	if err := r.Begin(ctx, d.client, d.Entries[0].Addr, DraftClass, "draft a profile output_tokens=100"); err != nil {
		return err
	}
	return d.report(ctx, r, 100)
}

func (d *demo) read(ctx context.Context) error {
	fmt.Fprintln(d.out, "\na read of a saved profile:")
	return d.call(ctx, ReadClass, "profile 7", "")
}

func (d *demo) purchase(ctx context.Context) error {
	fmt.Fprintln(d.out, "\na purchase, sent twice under one ticket through two instances:")
	content, _, err := d.post(ctx, d.Entries[0], "/v1/tickets", fmt.Sprintf(`{"class": %q}`, PurchaseClass), "")
	if err != nil {
		return err
	}
	var ticket struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(content, &ticket); err != nil {
		return err
	}
	if err := d.call(ctx, PurchaseClass, "headset 9", ticket.Ticket); err != nil {
		return err
	}
	if _, _, err := d.post(ctx, d.Entries[3], "/v1/calls/"+PurchaseClass, "headset 9", ticket.Ticket); err != nil {
		return err
	}
	runs := 0
	for _, service := range d.Services {
		content, err := d.Get(ctx, "http://"+service.Addr.String()+"/ran")
		if err != nil {
			return err
		}
		var ran map[string]int
		if err := json.Unmarshal(content, &ran); err != nil {
			return err
		}
		runs += ran[PurchaseClass+" headset 9"]
	}
	fmt.Fprintf(d.out, "the services ran it %d time(s)\n", runs)
	if runs != 1 {
		return errorx.AssertionFailed.New("the purchase ran %d times", runs)
	}
	return nil
}

func (d *demo) killEntry(ctx context.Context) error {
	fmt.Fprintln(d.out, "\na draft of 200 tokens whose entry instance is killed after 50:")
	r := &Reader{Credential: Credential}
	r.OnToken = func() error {
		if len(r.Texts) == 50 {
			d.Entries[1].Kill()
		}
		return nil
	}
	err := r.Begin(ctx, d.client, d.Entries[1].Addr, DraftClass, "draft a profile output_tokens=200")
	fmt.Fprintf(d.out, "the connection ended after %d tokens: %v\nthe reader resumes at %s\n", len(r.Texts), err, d.Entries[2].Name)
	if err := r.Resume(ctx, d.client, d.Entries[2].Addr); err != nil {
		return err
	}
	if err := r.verify(200); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%d tokens in all, each once and in order\n", len(r.Texts))
	return nil
}

// verify returns an error unless the stream completed with this number of tokens.
func (r *Reader) verify(tokens int) error {
	if !r.Done || len(r.Texts) != tokens {
		return errorx.AssertionFailed.New("%d of %d tokens arrived; failure: %q", len(r.Texts), tokens, r.Failure)
	}
	return r.Check()
}

// report checks the stream and prints the explanation of its outcome.
func (d *demo) report(ctx context.Context, r *Reader, tokens int) error {
	if err := r.verify(tokens); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%d tokens, each once and in order\n", len(r.Texts))
	return d.explain(ctx, r.RequestID)
}

func (d *demo) explain(ctx context.Context, id string) error {
	content, err := d.Get(ctx, "http://"+d.Entries[3].OperatorAddr.String()+"/requests/"+id)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "explained by %s:\n", d.Entries[3].Name)
	return operator.WriteExplanation(d.out, content)
}

func (d *demo) call(ctx context.Context, class, body, ticket string) error {
	content, id, err := d.post(ctx, d.Entries[0], "/v1/calls/"+class, body, ticket)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "answer: %s\n", content)
	return d.explain(ctx, id)
}

func (d *demo) post(ctx context.Context, p *Process, path, body, ticket string) (content []byte, id string, err error) {
	request, err := newPost(ctx, p, path, body, ticket)
	if err != nil {
		return nil, "", err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errorx.ExternalError.New("%s: %s", response.Status, content)
	}
	return content, response.Header.Get("X-Request-Id"), err
}

// newPost returns a POST request with the fleet's credential, and with the ticket
// unless it is empty.
func newPost(ctx context.Context, p *Process, path, body, ticket string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP client can't resend a request whose connection failed,
	// so that the number of requests sent is exactly the number of calls.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+Credential)
	if ticket != "" {
		request.Header.Set("Idempotency-Key", ticket)
	}
	return request, nil
}
