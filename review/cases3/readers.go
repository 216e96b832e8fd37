package main

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// darkFor is the time for which the machines have no power.
	darkFor = 3500 * time.Millisecond
	// restartDelay is the time in which the platform starts a process on a machine that has
	// power again.
	restartDelay = 300 * time.Millisecond
)

// playReaders plays the loss of power of three machines of 18, one in each zone, and at the same
// moment a change of the configuration that moves a route to another service and takes a key
// away.
//
// Rule: no request that is sent later than config-apply-ms after the store acknowledged the
// version runs as only the older version allows, at machines in touch.
func playReaders(p *play) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"cairns-a", "townsville-b", "mackay-c"}
	servers := map[string][]*plainServer{}
	for _, service := range []string{"member-desk", "plan-desk"} {
		for n, zone := range zones {
			server, err := startPlainServer(p.record, "i-"+service+"-"+string(rune('1'+n)), service, zone)
			if err != nil {
				return false, err
			}
			servers[service] = append(servers[service], server)
			if err := s.Put("servers/"+server.id, server.entry("ready")); err != nil {
				return false, err
			}
		}
	}
	if err := s.Put("op/config", deskConfiguration(1, "member-desk", apiKey, secondKey)); err != nil {
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
		c.load(ctx, p.fleet.edges, 4, func(e *edge) {
			c.call(context.Background(), e, "POST", "/topup/x", time.Second, "top-up")
			c.callWith(context.Background(), secondKey, e, "GET", "/balance/x", time.Second, "")
		})
	})
	time.Sleep(6 * time.Second)

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
	if err := s.Put("op/config", deskConfiguration(2, "plan-desk", apiKey)); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	p.record.add("the store acknowledges version 2: /topup/ goes to plan-desk, and the second key is gone")
	if p.trouble {
		time.Sleep(time.Until(acknowledged.Add(darkFor + restartDelay)))
		for _, e := range lost {
			p.record.add("%s starts again", e.name)
			if err := e.start(p.program); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(acknowledged.Add(8 * time.Second)))
	cancel()
	group.Wait()

	late, latest := 0, time.Duration(0)
	byEdge := map[string]int{}
	for _, server := range servers["member-desk"] {
		for _, a := range server.log() {
			request, ok := c.find(a.id)
			if !ok || isLost[request.edge] || request.at.Sub(acknowledged) <= configApply {
				continue
			}
			if strings.HasPrefix(request.path, "/balance/") && request.key != secondKey {
				continue
			}
			late++
			byEdge[request.edge.name]++
			latest = max(latest, request.at.Sub(acknowledged))
			p.record.add("stale: request %s (%s), sent to %s %.3f s after the acknowledgement, runs at %s", a.id, request.path, request.edge.name, request.at.Sub(acknowledged).Seconds(), server.id)
		}
	}
	p.record.add("requests to machines that kept power, sent more than %v after the acknowledgement and run as only version 1 allows: %d on %d machines, the last one sent after %.3f s", configApply, late, len(byEdge), latest.Seconds())
	p.record.add("ends of requests: %v", c.answers)
	return late > 0, nil
}

// secondKey is the key that version 2 no longer has.
const secondKey = "second-key-of-the-tenant"

// deskConfiguration returns a configuration whose route for top-ups goes to a service.
func deskConfiguration(version int, service string, keys ...string) map[string]any {
	c := plainConfiguration(version)
	for _, route := range c["routes"].([]any) {
		if r := route.(map[string]any); r["name"] == "topup" {
			r["service"] = service
		}
	}
	c["services"] = append(c["services"].([]any), map[string]any{"name": "plan-desk", "health-path": "/healthz", "max-connections": 248})
	c["tenants"] = []any{map[string]any{"name": tenant, "api-keys": keys}}
	return c
}
