package main

// The configuration that the operator publishes: that of a small site on our pages, with
// names of its own.
const (
	hostName     = "review.example"
	apiKey       = "key-of-reef"
	revokedKey   = "other-key-of-reef"
	tenant       = "reef"
	modelService = "pool"
	plainService = "desk"
	// kvCapacity is the memory of a model server, in tokens.
	kvCapacity = 34481
)

// Routes of the configuration.
const (
	routeBrief = "brief"
	routeTag   = "tag"
	routeTopup = "topup"
	routeRead  = "read"
)

// route is a route of the configuration.
type route struct {
	name, kind, service             string
	timeoutMS, targetMS, gapMS      int
	attempts, priority, engineSlots int
	resume                          bool
}

// siteRoutes returns the four kinds of requests of the sheet.
func siteRoutes() []route {
	return []route{
		{name: routeBrief, kind: "streaming", service: modelService, timeoutMS: 39000, targetMS: 1800, gapMS: 180, attempts: 1, priority: 1},
		{name: routeTag, kind: "streaming", service: modelService, timeoutMS: 6000, targetMS: 1500, gapMS: 180, attempts: 2, priority: 0, resume: true},
		{name: routeTopup, kind: "unsafe", service: plainService, timeoutMS: 1000, targetMS: 150, attempts: 1, priority: 2},
		{name: routeRead, kind: "safe", service: plainService, timeoutMS: 1000, targetMS: 150, attempts: 2, priority: 2},
	}
}

// publish writes a version of the configuration into the store. The tenant holds apiKey and the
// further keys.
func (r *rig) publish(version, engineSlots int, routes []route, keys ...string) error {
	var wire []any
	for _, t := range routes {
		entry := map[string]any{
			"name": t.name, "hostname": hostName, "prefix": "/" + t.name + "/", "route-type": t.kind, "service": t.service,
			"max-attempts": t.attempts, "timeout-ms": t.timeoutMS, "target-latency-ms": t.targetMS, "priority": t.priority, "stream-resume": t.resume,
		}
		if t.gapMS > 0 {
			entry["gap-target-ms"] = t.gapMS
			entry["session-affinity"] = true
		}
		wire = append(wire, entry)
	}
	r.record("the operator publishes version %d", version)
	return r.store.Put("op/config", map[string]any{
		"version": version, "routes": wire,
		"services": []any{
			map[string]any{"name": modelService, "health-path": "/healthz", "max-connections": 702, "engine": map[string]any{"slots": engineSlots, "kv-capacity": kvCapacity, "stride": eventTokens, "moves": false, "backups": false}},
			map[string]any{"name": plainService, "health-path": "/healthz", "max-connections": 248},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 10000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": append([]string{apiKey}, keys...)}},
	})
}
