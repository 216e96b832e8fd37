package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// tagEvents is the number of events of a short stream, and tagStreams that of the streams.
	tagEvents, tagStreams = 4, 40
	// garbledAt is the stream of which servers break off the answers, and maxGarbled the
	// number of these answers.
	garbledAt, maxGarbled = 10, 2
)

// playResumedAtEnd sends short resumable streams. The disruption is that servers break off two
// of their answers, to the same request, after its last event and before its end. The client
// then takes the stream up after the event that it has received last.
func playResumedAtEnd(ctx context.Context, r *rig) ([]string, error) {
	const slots = 32
	var garbled atomic.Value
	garbled.Store("")
	var count atomic.Int64
	breakOff := func(id string) bool { return id == garbled.Load() && count.Add(1) <= maxGarbled }
	var servers []*server
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		servers = append(servers, &server{
			id: "engine-" + name, service: modelService, zone: "zone-" + name, isModel: true, slots: slots, eventTime: 30 * time.Millisecond, breakOff: breakOff,
		})
	}
	if err := r.startSite(servers, slots, "zone-a", "zone-b"); err != nil {
		return nil, err
	}
	var breaks []string
	for n := range tagStreams {
		c := r.stream(routeTag, tagEvents, 6*time.Second)
		if r.trouble && n == garbledAt {
			garbled.Store(c.id)
		}
		a := r.sendAndRecord(ctx, r.nodes[n%len(r.nodes)], c)
		if a.status != http.StatusOK || a.complete || len(a.events) == 0 {
			continue
		}
		// The client may take up the stream after a broken connection.
		c.id, c.header["Last-Event-Id"] = r.newID("again-"), strconv.Itoa(a.events[len(a.events)-1])
		a = r.sendAndRecord(ctx, r.nodes[(n+1)%len(r.nodes)], c)
		if a.isUnsignedSuccess() {
			breaks = append(breaks, fmt.Sprintf("MIXED: %s got status %d with %d bytes and no Server-Signature", a.id, a.status, len(a.body)))
		}
	}
	return breaks, nil
}
