package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// historyTime is the time for which the store keeps its history.
	historyTime = 20 * time.Second
	// darkFor is the time for which the machines have no power, and restartDelay that in which
	// the platform then starts their processes.
	darkFor      = 3500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	// removedAfter is the time from the loss of power to the end of the server's entry.
	removedAfter = 1600 * time.Millisecond
	// lingers is the time for which the server serves after that.
	lingers = 12 * time.Second
)

// playHistory plays the loss of power of three machines of 18, the first of each zone, and then
// the end of the entry of a server that never reports that it drains.
//
// Rule: no request reaches the server later than drain-ms after the store acknowledged that its
// entry is gone.
func playHistory(p *play) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"cairns-a", "townsville-b", "mackay-c"}
	var servers []*plainServer
	for n, zone := range append(zones, zones[0]) {
		server, err := startPlainServer(p.record, fmt.Sprintf("i-desk-%d", n+1), "member-desk", zone)
		if err != nil {
			return false, err
		}
		servers = append(servers, server)
		if err := s.Put("servers/"+server.id, server.entry("ready")); err != nil {
			return false, err
		}
	}
	if err := s.Put("op/config", plainConfiguration(1)); err != nil {
		return false, err
	}
	var machines []string
	for n, count := range []int{7, 7, 4} {
		for range count {
			machines = append(machines, zones[n])
		}
	}
	if err := p.startFleet(s.addr, machines); err != nil {
		return false, err
	}
	c := newClients(p.record)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		c.load(ctx, p.fleet.edges, 2, func(e *edge) {
			c.call(context.Background(), e, "POST", "/topup/x", time.Second, "top-up")
		})
	})
	time.Sleep(2 * time.Second)
	if err := s.Put("op/config", plainConfiguration(2)); err != nil {
		return false, err
	}
	p.record.add("the store acknowledges version 2 of the configuration; nothing else changes for a while")
	time.Sleep(historyTime + time.Second)
	s.DropHistory()
	p.record.add("the store no longer has the history of more than %v ago", historyTime)
	time.Sleep(time.Second)

	// The first machine of each zone.
	lost := []*edge{p.fleet.edges[0], p.fleet.edges[7], p.fleet.edges[14]}
	isLost := map[*edge]bool{}
	if p.trouble {
		for _, e := range lost {
			isLost[e] = true
			e.signal(syscall.SIGKILL)
			p.record.add("%s loses power", e.name)
		}
	}
	dark := time.Now()
	time.Sleep(removedAfter)
	old := servers[0]
	s.RemoveEntry(old.id)
	gone := time.Now()
	p.record.add("the store acknowledges that the entry of %s is gone", old.id)
	if p.trouble {
		time.Sleep(time.Until(dark.Add(darkFor + restartDelay)))
		for _, e := range lost {
			p.record.add("%s starts again", e.name)
			if err := e.start(p.program); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(gone.Add(lingers)))
	old.server.Close()
	p.record.add("%s ends", old.id)
	time.Sleep(time.Second)
	cancel()
	group.Wait()

	late, latest := 0, time.Duration(0)
	byEdge := map[string]int{}
	for _, a := range old.log() {
		request, ok := c.find(a.id)
		if !ok || isLost[request.edge] || a.at.Sub(gone) <= drainBound {
			continue
		}
		late++
		latest = max(latest, a.at.Sub(gone))
		byEdge[request.edge.name]++
		p.record.add("late: request %s, sent to %s, reached %s %.3f s after the acknowledgement", a.id, request.edge.name, old.id, a.at.Sub(gone).Seconds())
	}
	p.record.add("requests that machines which kept power sent to %s more than %v after the acknowledgement: %d, by %d machines, the last one %.3f s after it", old.id, drainBound, late, len(byEdge), latest.Seconds())
	p.record.add("ends of requests: %v", c.answers)
	return late > 0, nil
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
