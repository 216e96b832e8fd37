package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
)

// endCheckTimeout is the timeout of the connection that shows whether an upstream has
// ended. A retry of its request waits for it.
const endCheckTimeout = 150 * time.Millisecond

// checkEnded finds out whether an upstream that lost the connection of a request has
// ended. The loss alone doesn't prove it, because some upstreams only lose answers.
func (g *Gateway) checkEnded(ctx context.Context, q *request, placement dispatch.Placement) {
	lostAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	conn, err := g.Dial(ctx, "tcp4", placement.Addr.String())
	if err == nil {
		conn.Close()
		return
	}
	g.reportIfRefused(q, placement, decide.UpstreamEnded{At: lostAt}, err)
}

// reportIfRefused reports the end of the upstream of a placement if its port refused a
// connection.
func (g *Gateway) reportIfRefused(q *request, placement dispatch.Placement, ended decide.UpstreamEnded, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.Log.Emit(event.UpstreamEnded, "upstream", placement.Name, "address", placement.Addr.String(), "born", int64(placement.Incarnation), "request", q.info.ID)
	ended.Upstream, ended.Incarnation = placement.Name, placement.Incarnation
	g.Dispatcher.ReportEnded(ended)
}
