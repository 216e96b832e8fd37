package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"mangoloft/config"
)

// otherTeamCredential is the credential of a second team, which tries to access the
// requests of the first team.
const otherTeamCredential = "trawler-credential"

// teamSecrets contains the latest request IDs, stream references and tickets of a
// team. A reference is the event ID with which a reader resumes a stream.
type teamSecrets struct {
	mu                            sync.Mutex
	requests, references, tickets []string
}

// maxKeptSecrets is the maximum number of secrets of each kind.
const maxKeptSecrets = 64

func (s *teamSecrets) add(request, reference, ticket string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for list, secret := range map[*[]string]string{&s.requests: request, &s.references: reference, &s.tickets: ticket} {
		if secret != "" {
			*list = append(*list, secret)
			*list = (*list)[max(0, len(*list)-maxKeptSecrets):]
		}
	}
}

// pick returns a random secret of the kind, or "" if there is none.
func (s *teamSecrets) pick(random *rand.Rand, kind *[]string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(*kind) == 0 {
		return ""
	}
	return (*kind)[random.IntN(len(*kind))]
}

func (s *soak) publishOtherTeam(ctx context.Context) error {
	return s.fleet.PutConfig(ctx, "teams/01", fmt.Sprintf(
		`{"teams": [{"name": "trawler", "credential_sha256": %q}]}`, config.Hash([]byte(otherTeamCredential))))
}

// accessOtherTeam makes the second team try to read a stream, explain a request
// and use a ticket of the first team, and makes the first team try a forged
// ticket. Any success is a violation.
func (s *soak) accessOtherTeam(ctx context.Context, random *rand.Rand, _ string) {
	defer time.Sleep(retryDelay)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addr := s.randomEntry(random).Addr
	if reference := s.teamSecrets.pick(random, &s.teamSecrets.references); reference != "" {
		r := &Reader{Credential: otherTeamCredential, Reference: reference}
		if err := r.Resume(ctx, s.http, addr); err == nil && !r.Refused() {
			s.addViolation("another team could read the stream %s", reference)
		}
	}
	if request := s.teamSecrets.pick(random, &s.teamSecrets.requests); request != "" {
		s.expectRefusal(ctx, http.MethodGet, addr.String(), "/v1/requests/"+request, otherTeamCredential, "")
	}
	if ticket := s.teamSecrets.pick(random, &s.teamSecrets.tickets); ticket != "" {
		path := "/v1/calls/" + PurchaseClass
		s.expectRefusal(ctx, http.MethodPost, addr.String(), path, otherTeamCredential, ticket)
		s.expectRefusal(ctx, http.MethodPost, addr.String(), path, Credential, ticket[:len(ticket)-2]+"xx")
	}
	s.update(func(totals *SoakResults) { totals.CrossTeamAttempts++ })
}

func (s *soak) expectRefusal(ctx context.Context, method, addr, path, credential, ticket string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		s.addViolation("cross-team request: %v", err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+credential)
	request.Header.Set("Idempotency-Key", ticket)
	response, err := s.http.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		s.addViolation("%s with a foreign or forged secret got a successful answer: %s", path, content)
	}
}

// RunCounts returns the number of runs of each call on all services, by class and
// body. It reads the services' journals, which survive restarts.
func (f *Fleet) RunCounts() (map[string]int, error) {
	runs := map[string]int{}
	for _, service := range f.Services {
		if err := countRuns(filepath.Join(f.plan.Dir, service.Name+".trail"), runs); err != nil {
			return nil, err
		}
	}
	return runs, nil
}

func countRuns(path string, runs map[string]int) error {
	journal, err := os.Open(path)
	if err != nil {
		return err
	}
	defer journal.Close()
	for lines := json.NewDecoder(journal); ; {
		var run struct {
			Class string `json:"class"`
			Body  string `json:"body"`
		}
		switch err := lines.Decode(&run); err {
		case nil:
			runs[run.Class+" "+run.Body]++
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}
