// Package kernel runs an entry instance: the control goroutine that owns all
// control state, and the plug-ins that speak to callers, upstreams, the
// platform, peers and operators. It imports none of them: each registers
// itself, and finds what it needs of others by interfaces of its own.
package kernel

import (
	"context"
	"fmt"
	"slices"
)

// Stage orders the start of plug-ins. A plug-in may look for parts that
// earlier stages provided.
type Stage uint8

const (
	// StageUpstream is for plug-ins that speak to upstreams.
	StageUpstream Stage = iota
	// StageFleet is for plug-ins that speak to peers and the platform.
	StageFleet
	// StageEdge is for plug-ins that take requests.
	StageEdge
)

// Actor is a long-running part of a plug-in. Run returns when ctx ends; an
// earlier return stops the instance.
type Actor struct {
	Name string
	Run  func(ctx context.Context) error
}

// Plugin speaks to one peer or by one protocol.
type Plugin struct {
	Name  string
	Stage Stage
	// Start sets the plug-in up and returns its actors, which are run once
	// all plug-ins are set up.
	Start func(rt *Runtime) ([]Actor, error)
}

var registered []Plugin

// Register adds a plug-in. It is for init functions only.
func Register(p Plugin) {
	for _, other := range registered {
		if other.Name == p.Name {
			panic(fmt.Sprintf("plug-in %s is registered twice", p.Name))
		}
	}
	registered = append(registered, p)
	slices.SortStableFunc(registered, func(a, b Plugin) int { return int(a.Stage) - int(b.Stage) })
}

// Find returns the first provided part that implements T.
func Find[T any](rt *Runtime) (T, bool) {
	for _, part := range rt.parts {
		if found, ok := part.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}
