// Package caller serves the callers over HTTP: completions, calls, tickets and
// explanations.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"mangoloft/call"
	"mangoloft/certs"
	"mangoloft/kernel"
	"mangoloft/relay"
)

const (
	// headerLimit bounds the time for a request's headers, bodyLimit that for
	// the whole request.
	headerLimit = 5 * time.Second
	bodyLimit   = 15 * time.Second
	// idleLimit bounds the time between two requests on a connection.
	idleLimit      = 60 * time.Second
	maxHeaderBytes = 32 << 10
	// closeLimit bounds the wait for connections at the very end, when no
	// request is under way any more.
	closeLimit = 2 * time.Second
)

// completionsPath is where completions begin and go on.
const (
	completionsPath = "/v1/completions"
	callsPath       = "/v1/calls/:class"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "caller", Stage: kernel.StageEdge, Start: start})
}

// server holds what the handlers need.
type server struct {
	rt         *kernel.Runtime
	engine     relay.Engine
	dispatcher *call.Dispatcher
	charges    charger
	explainer  explainer
	cancels    *canceller
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	engine, haveEngine := kernel.Find[relay.Engine](rt)
	runner, haveRunner := kernel.Find[call.ServiceClient](rt)
	charges, haveCharges := kernel.Find[charger](rt)
	explainer, haveExplainer := kernel.Find[explainer](rt)
	if !haveEngine || !haveRunner || !haveCharges || !haveExplainer {
		return nil, errorx.IllegalState.New("a plug-in that callers need is missing")
	}
	cancels := newCanceller(engine, recordCancel(rt.Trail))
	rt.OnDrain(cancels.drain)
	s := &server{rt, engine, &call.Dispatcher{Scheduler: rt, Client: runner}, charges, explainer, cancels}
	return []kernel.Actor{{Name: "callers", Run: s.serve}, {Name: "cancels", Run: cancels.run}}, nil
}

func (s *server) routes() *echo.Echo {
	e := echo.New()
	e.HTTPErrorHandler = s.routingError
	e.Use(middleware.Recover(), s.limitBody)
	e.GET("/ready", s.ready)
	e.POST(completionsPath, s.request(s.complete))
	e.GET(completionsPath, s.request(s.complete))
	e.POST(callsPath, s.request(s.call))
	e.POST("/v1/tickets", s.request(s.mint))
	e.GET("/v1/requests/:id", s.request(s.explain))
	return e
}

func (s *server) serve(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.routes(),
		ConnContext:       boundSendBuffer,
		ReadHeaderTimeout: headerLimit, ReadTimeout: bodyLimit, IdleTimeout: idleLimit, MaxHeaderBytes: maxHeaderBytes,
	}
	return certs.ServeHTTP(ctx, server, s.rt.Settings.Listen.Callers, s.rt.Settings.TLS.Callers, closeLimit)
}

// sendBufferBytes bounds what the system keeps for one connection whose other
// end takes nothing. Left to itself it grows the buffer to megabytes.
const sendBufferBytes = 128 << 10

func boundSendBuffer(ctx context.Context, conn net.Conn) context.Context {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // A connection that is closed already fails later.
	}
	return ctx
}

// ready tells the balancer whether to send new work here.
func (s *server) ready(c echo.Context) error {
	if !s.rt.Snapshot().Ready {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
