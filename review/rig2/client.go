package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	host = "desk.example"
	key  = "key-of-the-team"
)

// route is a route of a configuration.
type route struct{ name, kind, service string }

// publish writes a configuration as the operator does.
func (r *rig) publish(version int, routes ...route) error {
	services := map[string]bool{}
	var routeList, serviceList []any
	for _, e := range routes {
		routeList = append(routeList, map[string]any{
			"name": e.name, "hostname": host, "prefix": "/" + e.name + "/", "route-type": e.kind, "service": e.service, "max-attempts": 1,
			"timeout-ms": requestTimeout.Milliseconds(), "target-latency-ms": 150, "priority": 0,
		})
		if !services[e.service] {
			service := map[string]any{"name": e.service, "health-path": "/healthz", "max-connections": 248}
			if e.service == engineService {
				service["engine"] = map[string]any{"slots": 32, "kv-capacity": 34481, "kv-bytes": 327680, "link-mbps": 47000, "stride": 4, "handle-s": 5}
			}
			serviceList = append(serviceList, service)
		}
		services[e.service] = true
	}
	err := r.store.Put("op/config", map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "team", "api-keys": []string{key}}},
	})
	r.note("store acknowledged: configuration %d, routes %v", version, routes)
	return err
}

const (
	requestTimeout = 6 * time.Second
	maxBodyBytes   = 4194304
)

// answer is what a client saw of a request.
type answer struct {
	id       string
	instance *instance
	sentAt   time.Time
	status   int
	err      error
}

// clients send requests and remember their answers.
type clients struct {
	rig  *rig
	http *http.Client

	mu      sync.Mutex
	count   int
	answers []answer
}

func newClients(r *rig) *clients {
	return &clients{rig: r, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// send sends a request on a route to an instance and waits for the answer. A negative length
// sends the body in chunks.
func (c *clients) send(i *instance, routeName string, body io.Reader, length int64) answer {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("a%06d", c.count)
	c.mu.Unlock()
	a := answer{id: id, instance: i, sentAt: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+i.addr(c.rig.ports.callers).String()+"/"+routeName+"/x", body)
	if err != nil {
		a.err = err
		return a
	}
	request.ContentLength = length
	request.Host = host
	request.Header = http.Header{"Attempt-Id": {id}, "Credential": {key}, "Deadline-Ms": {strconv.FormatInt(requestTimeout.Milliseconds(), 10)}}
	c.rig.note("client sends %s on route %s to %s", id, routeName, i.name)
	response, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		a.status = response.StatusCode
	}
	a.err = err
	c.rig.note("client gets %s: status %d, error %v, after %d ms", id, a.status, a.err, time.Since(a.sentAt).Milliseconds())
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// load sends small requests to an instance at an interval until done is closed.
func (c *clients) load(i *instance, routeName string, interval time.Duration, done <-chan struct{}, group *sync.WaitGroup) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			group.Go(func() { c.send(i, routeName, http.NoBody, 0) })
		}
	}
}
