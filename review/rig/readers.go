package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// applyBound is config-apply-ms, and probeTime the time after it in which requests are sent.
	applyBound = applyMS * time.Millisecond
	probeTime  = 1500 * time.Millisecond
	// changeAfter is the time from the loss of power to the change.
	changeAfter = 50 * time.Millisecond
	// probePause is the time between two requests to an instance.
	probePause = 20 * time.Millisecond
)

// playReadersLost takes a key away, and sends requests with it later than the time in which that
// must be in force. The disruption is that three of six instances, one in each zone, lose power
// just before the change. They are those that read the store: the ones with the lowest addresses.
func playReadersLost(ctx context.Context, r *rig) ([]string, error) {
	var servers []*server
	for _, name := range []string{"a", "b", "c"} {
		servers = append(servers,
			&server{id: "desk-" + name, service: plainService, zone: "zone-" + name, slots: 32, callTime: 30 * time.Millisecond},
			&server{id: "engine-" + name, service: modelService, zone: "zone-" + name, isModel: true, slots: 32, eventTime: 30 * time.Millisecond})
	}
	if err := r.startSite(servers, 32, "zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"); err != nil {
		return nil, err
	}
	usual, stopUsual := context.WithCancel(ctx)
	defer stopUsual()
	for _, n := range r.nodes {
		r.group.Go(func() { r.sendTags(usual, n) })
	}
	// All instances have known each other for some heartbeats.
	time.Sleep(2 * time.Second)
	survivors := r.nodes[3:]
	for _, n := range survivors {
		if a := r.sendAndRecord(ctx, n, r.topup()); a.status != http.StatusOK {
			return nil, fmt.Errorf("%s does not serve before the change: %s", n.name, a.text())
		}
	}
	if r.trouble {
		for _, n := range r.nodes[:3] {
			r.record("%s loses power", n.name)
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(changeAfter)
	}
	if err := r.publish(17, 32, siteRoutes()); err != nil {
		return nil, err
	}
	acknowledgedAt := time.Now()
	r.record("the store acknowledges version 17, which takes a key away")
	time.Sleep(applyBound)
	var group sync.WaitGroup
	var mu sync.Mutex
	var breaks []string
	for _, n := range survivors {
		group.Go(func() {
			for time.Since(acknowledgedAt) < applyBound+probeTime && ctx.Err() == nil {
				sentAfter := time.Since(acknowledgedAt)
				a := r.sendAndRecord(ctx, n, r.topup())
				ran := 0
				for _, s := range servers {
					ran += s.runsOf(a.id)
				}
				if sentAfter > applyBound && ran > 0 {
					mu.Lock()
					breaks = append(breaks, fmt.Sprintf("CONFIG: %s, sent to %s with a dropped key %v after the acknowledgement, ran %d times and got status %d", a.id, n.name, sentAfter.Round(time.Millisecond), ran, a.status))
					mu.Unlock()
				}
				time.Sleep(probePause)
			}
		})
	}
	group.Wait()
	return breaks, nil
}

// sendTags sends short streams to an instance until the context ends, the usual load beside the
// calls.
func (r *rig) sendTags(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		send(ctx, newConnection(), n.callers, r.stream(routeTag, 4, 6*time.Second))
		time.Sleep(4 * probePause)
	}
}

// topup returns an attempt at an unsafe call with the key that is taken away.
func (r *rig) topup() call {
	return call{
		id: r.newID(routeTopup + "-"), method: http.MethodPost, path: "/" + routeTopup + "/x", body: "top up", deadline: time.Second,
		header: map[string]string{"Credential": revokedKey},
	}
}
