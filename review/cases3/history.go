package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// releaseGap is the time between the registration of the new server and the end of the old
	// one's entry, and forgetGap the time from then until watches hear nothing.
	releaseGap = 20 * time.Millisecond
	forgetGap  = 5 * time.Millisecond
	// silence is the time in which watches hear nothing before the history is dropped.
	silence = time.Second
	// lingers is the time for which a server serves after its entry is gone.
	lingers = 9 * time.Second
	// rounds is the number of servers that are replaced.
	rounds = 4
)

// playHistory plays a release of a plain service, in which a server that never reports that it
// drains is replaced, and then the store forgets its history.
//
// Rule: no request reaches the server later than drain-ms after the store acknowledged that its
// entry is gone.
func playHistory(p *play) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	var servers []*plainServer
	add := func(n int, zone string) (*plainServer, error) {
		server, err := startPlainServer(p.record, fmt.Sprintf("i-desk-%d", n), "member-desk", zone)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
		return server, s.Put("servers/"+server.id, server.entry("ready"))
	}
	zones := []string{"cairns-a", "townsville-b", "mackay-c"}
	for n, zone := range zones {
		if _, err := add(n+1, zone); err != nil {
			return false, err
		}
	}
	if err := s.Put("op/config", plainConfiguration(1)); err != nil {
		return false, err
	}
	if err := p.startFleet(s.addr, []string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[1], zones[2], zones[2], zones[2]}); err != nil {
		return false, err
	}
	c := newClients(p.record)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		c.load(ctx, p.fleet.edges, 3, func(e *edge) {
			c.call(context.Background(), e, "POST", "/topup/x", time.Second, "top-up")
		})
	})
	time.Sleep(6 * time.Second)

	late := 0
	for round := range rounds {
		n, err := p.replaceAndForget(s, c, servers[round], func() error {
			_, err := add(len(servers)+1, servers[round].zone)
			return err
		})
		if err != nil {
			return false, err
		}
		late += n
	}
	cancel()
	group.Wait()

	p.record.add("late requests: %d; ends of requests: %v", late, c.answers)
	return late > 0, nil
}

// replaceAndForget replaces a server, and then the store forgets its history. It returns the
// number of requests that reached the server too late.
func (p *play) replaceAndForget(s *store, c *clients, old *plainServer, register func() error) (late int, err error) {
	// The new server starts first; then the old one leaves. It never reports that it drains,
	// and serves for some seconds more.
	if err := register(); err != nil {
		return 0, err
	}
	p.record.add("the successor of %s is registered", old.id)
	time.Sleep(releaseGap)
	s.RemoveEntry(old.id)
	gone := time.Now()
	p.record.add("the store acknowledges that the entry of %s is gone; watches of the servers that wait: %d", old.id, s.waitingWatches())
	time.Sleep(forgetGap)
	if p.trouble {
		s.forgetHistory(silence)
		p.record.add("the store has forgotten its history and cut the watches")
	}
	stable := time.Now().Add(contact)
	time.Sleep(time.Until(gone.Add(lingers)))
	old.server.Close()
	p.record.add("%s ends", old.id)
	time.Sleep(time.Second)

	byEdge := map[string]int{}
	for _, a := range old.log() {
		request, ok := c.find(a.id)
		if !ok || a.at.Sub(gone) <= drainBound || request.at.Before(stable) {
			continue
		}
		late++
		byEdge[request.edge.name]++
		p.record.add("late: request %s, sent to %s, reached %s %.3f s after the acknowledgement", a.id, request.edge.name, old.id, a.at.Sub(gone).Seconds())
	}
	p.record.add("requests that reached %s more than %v after the acknowledgement, sent while all machines were in touch: %d, by instance: %v", old.id, drainBound, late, byEdge)
	return late, nil
}

// plainConfiguration returns a configuration with a plain service.
func plainConfiguration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "topup", "hostname": hostName, "prefix": "/topup/", "route-type": "unsafe", "service": "member-desk", "max-attempts": 1,
			"timeout-ms": 1000, "target-latency-ms": 150, "priority": 2,
		}, map[string]any{
			"name": "balance", "hostname": hostName, "prefix": "/balance/", "route-type": "safe", "service": "member-desk", "max-attempts": 2,
			"timeout-ms": 1000, "target-latency-ms": 150, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "member-desk", "health-path": "/healthz", "max-connections": 248}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api-keys": []string{apiKey}}},
	}
}
