package main

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// uploads is the number of clients that each send one body of the largest size to one of two
	// machines, 1.7 times as many as a zone has for each, and uploadTime how long that takes.
	uploads    = 2 * 39
	uploadTime = 2 * time.Second
	// memoryRounds is the number of bursts, and memoryRoundTime the time between two.
	memoryRounds    = 4
	memoryRoundTime = 7 * time.Second
	// minEnds is the number of ends of a process from which the rule is broken.
	minEnds       = 3
	memoryPoll    = 5 * time.Millisecond
	uploadChunk   = 64 << 10
	smallInterval = 100 * time.Millisecond
)

// playMemory lets many clients send bodies of the largest allowed size in chunks at the same
// time. Without the disruption they send them one after the other.
func playMemory(r *rig) (bool, error) {
	ips := []netip.Addr{netip.AddrFrom4([4]byte{127, 0, 1, 1}), netip.AddrFrom4([4]byte{127, 0, 2, 1})}
	for n, ip := range ips {
		zone := fmt.Sprintf("zone-%d", n+1)
		for m := range 2 {
			if _, err := r.addServer(fmt.Sprintf("desk-%d-%d", n+1, m+1), deskService, zone); err != nil {
				return false, err
			}
		}
		if _, err := r.addInstance("edge-"+zone, zone, ip, ips); err != nil {
			return false, err
		}
	}
	if err := r.publish(1, route{"topup", "unsafe", deskService}); err != nil {
		return false, err
	}
	if err := r.waitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	for _, i := range r.instances {
		watch.Go(func() { i.enforceMemory(stop) })
	}
	time.Sleep(settleTime)
	c := newClients(r)
	done := make(chan struct{})
	var small sync.WaitGroup
	for _, i := range r.instances {
		small.Go(func() { c.load(i, "topup", smallInterval, done, &small) })
	}
	for range memoryRounds {
		var group sync.WaitGroup
		for n := range uploads {
			i := r.instances[n%len(r.instances)]
			upload := func() { c.send(i, "topup", newUpload(), uploadLength) }
			if r.trouble {
				group.Go(upload)
			} else if n < len(r.instances) {
				upload()
			}
		}
		group.Wait()
		time.Sleep(memoryRoundTime)
	}
	close(done)
	small.Wait()
	close(stop)
	watch.Wait()
	broken := len(r.instances) > 0
	for _, i := range r.instances {
		r.note("%s was killed %d times, because its memory exceeded %d MB", i.name, i.outOfMemory, memoryMB)
		fmt.Printf("%s was killed %d times, because its memory exceeded %d MB\n", i.name, i.outOfMemory, memoryMB)
		broken = broken && i.outOfMemory >= minEnds
	}
	return broken, nil
}

// uploadLength is the length of the body that the request declares; negative for chunks.
var uploadLength = uploadLengthOf(os.Getenv("LENGTH"))

func uploadLengthOf(value string) int64 {
	if value == "declared" {
		return maxBodyBytes
	}
	return -1
}

// newUpload returns a body of the largest size that takes uploadTime to send.
func newUpload() io.Reader {
	return &slowReader{rest: bytes.Repeat([]byte("x"), maxBodyBytes), pause: uploadTime / (maxBodyBytes / uploadChunk)}
}

type slowReader struct {
	rest  []byte
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	if len(s.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := copy(b, s.rest[:min(len(s.rest), uploadChunk)])
	s.rest = s.rest[n:]
	return n, nil
}

// enforceMemory kills the process whenever it exceeds its memory, as the platform does.
func (i *instance) enforceMemory(stop <-chan struct{}) {
	peak, killed := 0, 0
	for {
		select {
		case <-stop:
			i.rig.note("%s used at most %d MB", i.name, peak>>10)
			return
		case <-time.After(memoryPoll):
		}
		pid := i.pid()
		used := residentKB(pid)
		peak = max(peak, used)
		if used <= memoryMB<<10 || pid == killed {
			continue
		}
		killed = pid
		i.mu.Lock()
		i.outOfMemory++
		_ = i.cmd.Process.Kill()
		i.mu.Unlock()
		i.rig.note("%s uses %d MB and is killed", i.name, used>>10)
	}
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err == nil {
				return kb
			}
		}
	}
	return 0
}
