package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Times of the play. Both streams are on time: the first event comes within the target of 1,500
// ms, and the pauses are below 180 ms.
const (
	firstEventTime = 1400 * time.Millisecond
	pauseTime      = 175 * time.Millisecond
	// longEvents is the number of events of the long stream, which takes 6.3 s, and
	// shortEvents that of the short one, which takes 3.7 s.
	longEvents, shortEvents = 29, 14
	// stopAfter is the time from the begin of the long stream to the SIGTERM, so that some
	// 4.2 s of it are left.
	stopAfter = 2100 * time.Millisecond
	// sendAfter is the time from the SIGTERM to the short stream. The connection is idle for
	// less than 300 ms then, and the instance accepts the request.
	sendAfter = 4400 * time.Millisecond
	// excusedTime is the time after a SIGTERM in which requests may still be too long.
	excusedTime = 3 * time.Second
)

// playPlannedStop sends a long stream on a connection, and when it has ended a short resumable
// one on the same connection. The disruption is that the instance gets SIGTERM while the long
// stream runs.
func playPlannedStop(ctx context.Context, r *rig) ([]string, error) {
	const slots = 32
	var servers []*server
	for _, name := range []string{"a", "b"} {
		servers = append(servers, &server{id: "engine-" + name, service: modelService, zone: "zone-" + name, isModel: true, slots: slots, firstTime: firstEventTime, eventTime: pauseTime})
	}
	if err := r.startSite(servers, slots, "zone-a", "zone-b"); err != nil {
		return nil, err
	}
	n := r.nodes[0]
	connection := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	long := r.stream(routeBrief, longEvents, 39*time.Second)
	done := make(chan answer, 1)
	r.group.Go(func() {
		r.record("client sends %s to %s", long.id, n.name)
		done <- send(ctx, connection, n.callers, long)
	})
	time.Sleep(stopAfter)
	stoppedAt := time.Now()
	if r.trouble {
		r.record("SIGTERM for %s, which gets SIGKILL after %d s", n.name, graceSeconds)
		n.signal(syscall.SIGTERM)
		kill := time.AfterFunc(graceSeconds*time.Second, func() { n.signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	a := <-done
	r.record("client got %s: %s", long.id, a.text())
	if !a.complete {
		return nil, fmt.Errorf("the long stream is incomplete: %w", a.err)
	}
	time.Sleep(time.Until(stoppedAt.Add(sendAfter)))
	short := r.stream(routeTag, shortEvents, 6*time.Second)
	sentAfter := time.Since(stoppedAt)
	r.record("client sends %s to %s on the same connection, %v after the SIGTERM", short.id, n.name, sentAfter.Round(time.Millisecond))
	a = send(ctx, connection, n.callers, short)
	r.record("client got %s: %s", short.id, a.text())
	ran := servers[0].runsOf(short.id) + servers[1].runsOf(short.id)
	if ran == 0 || a.complete || errors.Is(a.err, context.DeadlineExceeded) || sentAfter <= excusedTime {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %s was sent %v after the SIGTERM and ran; its connection ended after %d of %d events: %v",
		short.id, sentAfter.Round(time.Millisecond), len(a.events), shortEvents, a.err)}, nil
}
