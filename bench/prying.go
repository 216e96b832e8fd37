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

// pryingCredential is that of a team which tries to get at another's requests.
const pryingCredential = "trawler-credential"

// secrets are what a team carries: request ids, stream references and tickets.
// Only the latest of each kind are kept.
type secrets struct {
	mu                            sync.Mutex
	requests, references, tickets []string
}

const keptSecrets = 64

func (s *secrets) keep(request, reference, ticket string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, text := range map[*[]string]string{&s.requests: request, &s.references: reference, &s.tickets: ticket} {
		if text != "" {
			*kind = append(*kind, text)
			*kind = (*kind)[max(0, len(*kind)-keptSecrets):]
		}
	}
}

// one returns one of the kind, or nothing.
func (s *secrets) one(random *rand.Rand, kind *[]string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(*kind) == 0 {
		return ""
	}
	return (*kind)[random.IntN(len(*kind))]
}

func (s *soak) publishPryingTeam(ctx context.Context) error {
	return s.fleet.PutConfig(ctx, "teams/01", fmt.Sprintf(
		`{"teams": [{"name": "trawler", "credential_sha256": %q}]}`, config.Hash([]byte(pryingCredential))))
}

// pry lets the other team try to read a stream, explain a request and use a
// ticket of the first team, and the first team use a forged ticket. None may
// be answered.
func (s *soak) pry(ctx context.Context, random *rand.Rand, _ string) {
	defer time.Sleep(comeBackPause)
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	addr := s.entry(random).Addr
	if reference := s.secrets.one(random, &s.secrets.references); reference != "" {
		r := &Reader{Credential: pryingCredential, Reference: reference}
		if err := r.Resume(ctx, s.http, addr); err == nil && !r.Refused() {
			s.violation("another team read the stream %s", reference)
		}
	}
	if request := s.secrets.one(random, &s.secrets.requests); request != "" {
		s.pryInto(ctx, http.MethodGet, addr.String(), "/v1/requests/"+request, pryingCredential, "")
	}
	if ticket := s.secrets.one(random, &s.secrets.tickets); ticket != "" {
		path := "/v1/calls/" + PurchaseClass
		s.pryInto(ctx, http.MethodPost, addr.String(), path, pryingCredential, ticket)
		s.pryInto(ctx, http.MethodPost, addr.String(), path, Credential, ticket[:len(ticket)-2]+"xx")
	}
	s.count(func(f *SoakFigures) { f.CrossTeamAttempts++ })
}

func (s *soak) pryInto(ctx context.Context, method, addr, path, credential, ticket string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		s.violation("prying: %v", err)
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
		s.violation("%s of another team was answered: %s", path, content)
	}
}

// RunCounts returns how often each call ran at any service, by its class and body.
// It reads the services' journals, which outlive them.
func (f *Fleet) RunCounts() (map[string]int, error) {
	ran := map[string]int{}
	for _, service := range f.Services {
		if err := countRuns(filepath.Join(f.plan.Dir, service.Name+".trail"), ran); err != nil {
			return nil, err
		}
	}
	return ran, nil
}

func countRuns(path string, ran map[string]int) error {
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
			ran[run.Class+" "+run.Body]++
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}
