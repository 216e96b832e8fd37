// Package caller is the HTTP API for callers: completions, calls, tickets and the
// audit records of their requests.
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
	// headerTimeout bounds the time to read a request's headers, readTimeout that
	// to read the whole request.
	headerTimeout = 5 * time.Second
	readTimeout   = 15 * time.Second
	// idleTimeout bounds the idle time of a keep-alive connection.
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
	// shutdownTimeout bounds the wait for connections to close at the end of a
	// stop, after all requests have ended.
	shutdownTimeout = 2 * time.Second
)

const (
	completionsPath = "/v1/completions"
	callsPath       = "/v1/calls/:class"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "caller", Stage: kernel.StageEdge, Start: start})
}

// server holds the dependencies of the handlers.
type server struct {
	rt         *kernel.Runtime
	engine     relay.Engine
	dispatcher *call.Dispatcher
	charges    chargeRunner
	explainer  explainer
	cancels    *canceller
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	engine, hasEngine := kernel.Find[relay.Engine](rt)
	services, hasServices := kernel.Find[call.ServiceClient](rt)
	charges, hasCharges := kernel.Find[chargeRunner](rt)
	explainer, hasExplainer := kernel.Find[explainer](rt)
	if !hasEngine || !hasServices || !hasCharges || !hasExplainer {
		return nil, errorx.IllegalState.New("a plug-in that the HTTP API requires is missing")
	}
	cancels := newCanceller(engine, recordCancel(rt.Trail))
	rt.OnDrain(cancels.drain)
	s := &server{rt, engine, &call.Dispatcher{Scheduler: rt, Client: services}, charges, explainer, cancels}
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
		ConnContext:       limitSendBuffer,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return certs.ServeHTTP(ctx, server, s.rt.Settings.Listen.Callers, s.rt.Settings.TLS.Callers, shutdownTimeout)
}

// sendBufferBytes bounds the operating system's send buffer for a connection
// whose client doesn't read. With automatic sizing the buffer grows to megabytes.
const sendBufferBytes = 128 << 10

func limitSendBuffer(ctx context.Context, conn net.Conn) context.Context {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // On a closed connection, a later write returns the error.
	}
	return ctx
}

// ready is the health check by which a load balancer decides whether to send new
// requests to this instance.
func (s *server) ready(c echo.Context) error {
	if !s.rt.Snapshot().Ready {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
