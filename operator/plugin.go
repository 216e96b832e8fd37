// Package operator serves an instance's status, the audit records of requests and
// metrics to operators over HTTP. It also contains the client for the status and the
// audit records, and prints both as text.
package operator

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"

	"mangoloft/audit"
	"mangoloft/certs"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/metrics"
	"mangoloft/verdict"
)

const (
	// headerTimeout is the timeout for reading the header of a request.
	headerTimeout = 5 * time.Second
	// closeTimeout is the time that open requests have to finish when the server
	// shuts down.
	closeTimeout = 1 * time.Second
)

func init() {
	kernel.Register(kernel.Plugin{Name: "operator", Stage: kernel.StageEdge, Start: start})
}

// explainer returns the audit records of a request from its home instance.
type explainer interface {
	Explain(ctx context.Context, id ident.Request) ([]json.RawMessage, error)
}

type server struct {
	rt        *kernel.Runtime
	explainer explainer
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	explainer, ok := kernel.Find[explainer](rt)
	if !ok {
		return nil, errorx.IllegalState.New("no plug-in implements explainer")
	}
	metrics.Publish(metrics.Source{
		Snapshot: rt.Snapshot, OpenRequests: rt.Requests.Open, ControlBacklog: rt.Backlog,
		AuditRecordsDropped: rt.Trail.Dropped, LogEventsDropped: rt.Log.Dropped,
	})
	s := &server{rt, explainer}
	return []kernel.Actor{{Name: "operators", Run: s.serve}}, nil
}

func (s *server) serve(ctx context.Context) error {
	e := echo.New()
	e.GET("/status", s.status)
	e.GET("/requests/:id", s.explain)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	server := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
	return certs.ServeHTTP(ctx, server, s.rt.Settings.Listen.Operators, s.rt.Settings.TLS.Operators, closeTimeout)
}

// statusWire is the body of the response to /status.
type statusWire struct {
	Instance    string `json:"instance"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	// MissingPrerequisites names the conditions that the instance must still meet to become ready.
	MissingPrerequisites []string `json:"lacks"`
	ConfigVersion        uint64   `json:"config_version"`
	ConfigDigest         string   `json:"config_digest"`
	// ConfigContactAt and ListReadAt are the times of the platform's latest responses
	// to this instance, or to a peer that announced a later one.
	ConfigContactAt time.Time `json:"config_contact_at"`
	ListReadAt      time.Time `json:"list_read_at"`
	// Reader reports whether this instance polls the platform for its data centre.
	Reader       bool           `json:"reader"`
	OpenRequests int            `json:"open_requests"`
	Audit        auditWire      `json:"audit"`
	Peers        []string       `json:"peers"`
	PeerStates   []peerWire     `json:"peer_states"`
	Upstreams    []upstreamWire `json:"upstreams"`
}

// auditWire describes the instance's audit trail. Operators can store the head
// elsewhere and later pass it to the check command.
type auditWire struct {
	audit.Head
	Dropped uint64 `json:"dropped"`
}

// peerWire is the state of a peer from its latest heartbeat.
type peerWire struct {
	Name          string            `json:"name"`
	DataCentre    string            `json:"data_centre"`
	Incarnation   ident.Incarnation `json:"incarnation"`
	Stopping      bool              `json:"stopping"`
	ConfigVersion uint64            `json:"config_version"`
	// ConfigFailed reports whether the peer recently failed to reach the
	// configuration service.
	ConfigFailed bool `json:"config_failed"`
}

type upstreamWire struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}

// status responds with the state of the instance.
func (s *server) status(c echo.Context) error {
	snapshot := s.rt.Snapshot()
	wire := statusWire{
		Instance: s.rt.Settings.Instance, DataCentre: s.rt.Settings.DataCentre, Incarnation: s.rt.Home.Incarnation.String(),
		Ready: snapshot.Ready, Stopping: snapshot.Stopping, OpenRequests: s.rt.Requests.Open(),
		MissingPrerequisites: []string{}, Reader: snapshot.Reader, ConfigContactAt: snapshot.ConfigContactAt, ListReadAt: snapshot.ListReadAt,
		Audit: auditWire{s.rt.Trail.Head(), s.rt.Trail.Dropped()},
		Peers: []string{}, PeerStates: []peerWire{}, Upstreams: []upstreamWire{},
	}
	for _, condition := range snapshot.Missing {
		wire.MissingPrerequisites = append(wire.MissingPrerequisites, condition.String())
	}
	if snapshot.Config != nil {
		wire.ConfigVersion, wire.ConfigDigest = snapshot.Config.Version, snapshot.Config.Digest
	}
	for _, p := range snapshot.Peers {
		wire.Peers = append(wire.Peers, p.Name)
		wire.PeerStates = append(wire.PeerStates, peerWire{p.Name, p.DataCentre, p.Home.Incarnation, p.Stopping, p.ConfigVersion, p.ConfigFailed})
	}
	for _, u := range snapshot.Upstreams {
		wire.Upstreams = append(wire.Upstreams, upstreamWire{u.Name, u.Pool, u.DataCentre, u.Leaving})
	}
	return c.JSON(http.StatusOK, wire)
}

// explain responds with the audit records of a request.
func (s *server) explain(c echo.Context) error {
	id, err := ident.ParseRequest(c.Param("id"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	records, err := s.explainer.Explain(c.Request().Context(), id)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadGateway, verdict.OutcomeOf(err).Detail)
	}
	if len(records) == 0 {
		return echo.NewHTTPError(http.StatusNotFound, "the request's home has no record of it")
	}
	return c.JSON(http.StatusOK, records)
}
