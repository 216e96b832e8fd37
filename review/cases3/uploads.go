package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the size of a body, below max-body-bytes of 4,194,304.
	uploadBytes = 4_190_000
	// uploadTime is the time in which a client sends it.
	uploadTime = time.Second
	// burstFactor and burstTime are those of the burst. burstEvery is the time between two.
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	burstEvery  = 25 * time.Second
	bursts      = 2
	// steadyTime is the time before the first burst, and endTime that after the last.
	steadyTime = 16 * time.Second
	endTime    = 14 * time.Second
	memoryMB   = 206
)

// zoneRates are the long streams that start in each zone in a second: 3.46 in all, by the
// traffic of the zones.
var zoneRates = []float64{1.215, 1.129, 1.116}

// playUploads plays bursts of long streams whose requests have large bodies in chunks.
//
// Rule: no machine closes the kept connections of more than three requests that it has passed on
// to sound servers without an answer.
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
	if err := p.startFleet(s.addr, zones); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	u := &uploadPlay{play: p, clients: newClients(p.record), engines: engines, lost: map[*edge]int{}}
	u.started = time.Now()
	var group sync.WaitGroup
	for n, e := range p.fleet.edges {
		group.Go(func() { u.load(e, zoneRates[n]) })
	}
	group.Wait()
	for _, e := range p.fleet.edges {
		peak := peakMemory(e)
		p.record.add("%s: %d streams on kept connections, passed on to sound servers, ended without a complete answer; peak memory %d MB of %d", e.name, u.lost[e], peak, memoryMB)
		if peak == 0 || peak > memoryMB {
			return false, fmt.Errorf("%s has ended or exceeds its memory, which is another case", e.name)
		}
		broken = broken || u.lost[e] > 3
	}
	p.record.add("ends of requests: %v", u.clients.answers)
	return broken, nil
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

type uploadPlay struct {
	*play
	clients *clients
	engines []*engine
	started time.Time

	mu sync.Mutex
	// lost counts the streams of each machine that were lost.
	lost map[*edge]int
}

// load sends streams to a machine, so many a second and more in bursts.
func (u *uploadPlay) load(e *edge, perSecond float64) {
	var group sync.WaitGroup
	defer group.Wait()
	inBurst := false
	for {
		at := time.Since(u.started)
		if at >= steadyTime+(bursts-1)*burstEvery+endTime {
			return
		}
		now := false
		for n := range bursts {
			begin := steadyTime + time.Duration(n)*burstEvery
			now = now || u.trouble && at >= begin && at < begin+burstTime
		}
		if now != inBurst {
			u.record.add("burst at %s: %v", e.name, now)
		}
		inBurst = now
		rate := perSecond
		if inBurst {
			rate *= burstFactor
		}
		group.Go(func() { u.stream(e) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
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

// stream sends a short request and then, on the same connection, one for a long stream.
func (u *uploadPlay) stream(e *edge) {
	conn, err := net.Dial("tcp4", e.callers.String())
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	_, head := u.newRequest("/topup/x", time.Second, "Content-Length: 6\r\n\r\ntop-up")
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	id, head := u.newRequest("/brief/x", 39*time.Second, fmt.Sprintf("Model: m\r\nToken-Usage: 3000,%d\r\nPrefix-Hash: aa:40,%x:2960\r\nTransfer-Encoding: chunked\r\n\r\n", eventCount*4, time.Now().UnixNano()))
	u.record.add("stream %s, a body of %d bytes in chunks, is sent to %s on a kept connection", id, uploadBytes, e.name)
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	if err := sendChunks(conn); err != nil {
		u.record.add("stream %s: the body could not be sent: %v", id, err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(39 * time.Second))
	response, err = http.ReadResponse(reader, nil)
	if err != nil {
		u.record.add("stream %s ends: %v", id, err)
		u.clients.count("stream without an answer")
		u.count(e, id)
		return
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
		if !errors.Is(err, context.DeadlineExceeded) {
			u.count(e, id)
		}
	}
}

// count counts a stream that was lost, if its server would have gone on.
func (u *uploadPlay) count(e *edge, id string) {
	time.Sleep(100 * time.Millisecond)
	for _, server := range u.engines {
		if server.wasCutOff(id) {
			u.mu.Lock()
			u.lost[e]++
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
