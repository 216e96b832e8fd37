package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of a body, below max-body-bytes of 4,194,304.
	uploadBytes = 4_190_000
	// uploadTime is the time in which a client sends it.
	uploadTime = time.Second
	// termAt is the time at which one machine gets SIGTERM, and hupAt that at which the other
	// one of its zone gets SIGHUP. loadTime is the time in which streams begin.
	termAt   = 16 * time.Second
	hupAt    = termAt + 5*time.Second
	loadTime = termAt + 14*time.Second
	memoryMB = 206
)

// zoneRates are the long streams that begin in each zone in a second at the crest of the site's
// wave: 1.15 times 3.46 in all, by the traffic of the zones.
var zoneRates = []float64{1.397, 1.298, 1.283}

// playUploads plays planned work in a zone of two machines, whose long streams have large bodies
// in chunks: one machine is stopped and started again, and the settings of the other one change.
//
// Rule: around planned work, without any other disruption, no connection ends without a complete
// answer once its request has been passed on to a server.
func playUploads(p *play) (broken bool, err error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"cairns-a", "townsville-b", "mackay-c"}
	var engines []*engine
	for n := range 9 {
		e, err := startEngine(p.record, fmt.Sprintf("i-pool-%d", n+1), zones[n%3])
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		if err := s.Put("servers/"+e.id, e.entry()); err != nil {
			return false, err
		}
	}
	for n, zone := range zones {
		server, err := startPlainServer(p.record, fmt.Sprintf("i-desk-%d", n+1), "member-desk", zone)
		if err != nil {
			return false, err
		}
		if err := s.Put("servers/"+server.id, server.entry("ready")); err != nil {
			return false, err
		}
	}
	if err := s.Put("op/config", fullConfiguration(1)); err != nil {
		return false, err
	}
	if err := p.startFleet(s.addr, []string{zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u := &uploadPlay{play: p, clients: newClients(p.record), engines: engines, out: map[*edge]bool{}, started: time.Now()}
	for _, e := range p.fleet.edges {
		go u.poll(ctx, e)
	}
	var group sync.WaitGroup
	for n := range zones {
		group.Go(func() { u.load(p.fleet.edges[2*n:2*n+2], zoneRates[n]) })
	}
	stopped, pressed := p.fleet.edges[1], p.fleet.edges[0]
	if p.trouble {
		group.Go(func() { u.restart(stopped) })
		time.Sleep(time.Until(u.started.Add(hupAt)))
		p.record.add("%s gets SIGHUP", pressed.name)
		pressed.signal(syscall.SIGHUP)
	}
	group.Wait()
	peak := peakMemory(pressed)
	lost := 0
	for _, l := range u.lost {
		if l.edge == pressed && l.sentAt.Before(u.started.Add(hupAt+configApply)) && l.endedAt.After(u.started.Add(hupAt)) {
			lost++
		}
	}
	p.record.add("%s: %d requests, sent up to %v after the SIGHUP and passed on to sound servers, ended without a complete answer after it; %d in all on all machines; peak memory %d MB of %d", pressed.name, lost, configApply, len(u.lost), peak, memoryMB)
	p.record.add("ends of requests: %v", u.clients.answers)
	if peak == 0 || peak > memoryMB {
		return false, fmt.Errorf("%s has ended or exceeds its memory, which is another case", pressed.name)
	}
	return lost > 0, nil
}

// restart stops a machine as the platform does, and starts it again.
func (u *uploadPlay) restart(e *edge) {
	time.Sleep(time.Until(u.started.Add(termAt)))
	u.record.add("%s gets SIGTERM", e.name)
	e.signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(graceTime):
		e.signal(syscall.SIGKILL)
		<-e.exited
	}
	u.record.add("%s has ended", e.name)
	time.Sleep(300 * time.Millisecond)
	if err := e.start(u.program); err != nil {
		u.record.add("%s does not start: %v", e.name, err)
	}
}

// poll asks a machine once a second whether it is ready. After two misses it gets no new
// connections until it is ready again.
func (u *uploadPlay) poll(ctx context.Context, e *edge) {
	misses := 0
	for ctx.Err() == nil {
		if e.isReady() {
			misses = 0
		} else {
			misses++
		}
		u.mu.Lock()
		u.out[e] = misses >= 2
		u.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// choose returns the machine of a zone for the nth connection.
func (u *uploadPlay) choose(machines []*edge, n int) *edge {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := range machines {
		if e := machines[(n+k)%len(machines)]; !u.out[e] {
			return e
		}
	}
	return machines[n%len(machines)]
}

// peakMemory returns the peak memory of an instance in MiB; 0 if it has ended.
func peakMemory(e *edge) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	var kb int
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		return 0
	}
	return kb >> 10
}

// lostStream is a stream that ended without a complete answer though its server would have gone
// on.
type lostStream struct {
	edge            *edge
	sentAt, endedAt time.Time
}

type uploadPlay struct {
	*play
	clients *clients
	engines []*engine
	started time.Time

	mu   sync.Mutex
	out  map[*edge]bool
	lost []lostStream
}

// load sends streams to the machines of a zone, so many a second.
func (u *uploadPlay) load(machines []*edge, perSecond float64) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; time.Since(u.started) < loadTime; n++ {
		group.Go(func() {
			// A client comes back once after a promise that its request has not run.
			if u.stream(u.choose(machines, n)) == http.StatusServiceUnavailable {
				u.stream(u.choose(machines, n+1))
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

// newRequest returns a request with a new id.
func (u *uploadPlay) newRequest(path string, deadline time.Duration, extra string) (id, head string) {
	id = fmt.Sprintf("%016x", u.clients.number.Add(1))
	return id, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: %d\r\n%s", path, hostName, id, apiKey, deadline.Milliseconds(), extra)
}

// sendChunks sends a large body in chunks.
func sendChunks(w io.Writer) error {
	const chunks = 64
	chunk := bytes.Repeat([]byte("p"), uploadBytes/chunks+1)
	started := time.Now()
	for n, left := 0, uploadBytes; left > 0; n++ {
		size := min(left, len(chunk))
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", size, chunk[:size]); err != nil {
			return err
		}
		left -= size
		time.Sleep(time.Until(started.Add(time.Duration(n+1) * uploadTime / chunks)))
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// stream sends a short request and then, on the same connection, one for a long stream. It
// returns the status of the answer; 0 if there is none.
func (u *uploadPlay) stream(e *edge) (status int) {
	conn, err := net.Dial("tcp4", e.callers.String())
	if err != nil {
		u.record.add("no connection to %s: %v", e.name, err)
		return http.StatusServiceUnavailable
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	_, head := u.newRequest("/topup/x", time.Second, "Content-Length: 6\r\n\r\ntop-up")
	if _, err := io.WriteString(conn, head); err != nil {
		return 0
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.Close {
		// The client opens a new connection, which other machines get.
		return http.StatusServiceUnavailable
	}
	id, head := u.newRequest("/brief/x", 39*time.Second, fmt.Sprintf("Model: m\r\nToken-Usage: 3000,%d\r\nPrefix-Hash: aa:40,%x:2960\r\nTransfer-Encoding: chunked\r\n\r\n", eventCount*4, time.Now().UnixNano()))
	sentAt := time.Now()
	u.record.add("stream %s, a body of %d bytes in chunks, is sent to %s on a kept connection", id, uploadBytes, e.name)
	if _, err := io.WriteString(conn, head); err != nil {
		return 0
	}
	if err := sendChunks(conn); err != nil {
		u.record.add("stream %s: the body could not be sent: %v", id, err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(39 * time.Second))
	response, err = http.ReadResponse(reader, nil)
	if err != nil {
		u.record.add("stream %s ends: %v", id, err)
		u.clients.count("stream without an answer")
		return 0
	}
	content, err := io.ReadAll(response.Body)
	events := bytes.Count(content, []byte("id: "))
	switch {
	case err == nil && events == eventCount:
		u.record.add("stream %s ends: %d, complete with %d events", id, response.StatusCode, events)
		u.clients.count("stream complete")
	case err == nil:
		u.record.add("stream %s ends: %s, %d events", id, response.Status, events)
		u.clients.count("stream " + response.Status)
	default:
		u.record.add("stream %s: %s closes the connection after %d of %d events: %v", id, e.name, events, eventCount, err)
		u.clients.count("stream broken off")
		u.countLost(e, id, sentAt, time.Now())
	}
	return response.StatusCode
}

// countLost counts a stream that was broken off, if its server would have gone on.
func (u *uploadPlay) countLost(e *edge, id string, sentAt, endedAt time.Time) {
	time.Sleep(100 * time.Millisecond)
	for _, server := range u.engines {
		if server.wasCutOff(id) {
			u.mu.Lock()
			u.lost = append(u.lost, lostStream{e, sentAt, endedAt})
			u.mu.Unlock()
			return
		}
	}
}

// fullConfiguration returns a configuration with the kinds of requests that the case needs.
func fullConfiguration(version int) map[string]any {
	c := plainConfiguration(version)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "brief", "hostname": hostName, "prefix": "/brief/", "route-type": "streaming", "service": "mangoloft-pool", "max-attempts": 1,
		"timeout-ms": 39000, "target-latency-ms": 1800, "gap-target-ms": 180, "priority": 1, "session-affinity": true,
	})
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": "mangoloft-pool", "health-path": "/healthz", "max-connections": 702,
		"engine": map[string]any{"slots": engineSlots, "kv-capacity": engineKV, "kv-bytes": 327680, "link-mbps": 47000, "stride": 4, "moves": false, "backups": false},
	})
	return c
}
