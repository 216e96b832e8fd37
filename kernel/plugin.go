// Package kernel runs an entry instance: the control goroutine that owns all
// control state, and the plug-ins that connect it to callers, upstreams, the
// platform, peers and operators. The kernel imports no plug-in. Each plug-in
// registers itself, provides parts to other plug-ins, and finds the parts that it
// needs by interfaces that it declares itself.
package kernel

import (
	"context"
	"fmt"
	"slices"
)

// Stage orders the start of plug-ins. When a plug-in starts, it can find the parts
// that plug-ins of earlier stages provided.
type Stage uint8

const (
	// StageUpstream is for plug-ins that connect to upstreams.
	StageUpstream Stage = iota
	// StageFleet is for plug-ins that connect to peers and the platform.
	StageFleet
	// StageEdge is for plug-ins that accept requests.
	StageEdge
)

// Actor is a long-running task of a plug-in. Run returns when ctx is done;
// returning earlier stops the instance.
type Actor struct {
	Name string
	Run  func(ctx context.Context) error
}

// Plugin connects the instance to one kind of remote party or by one protocol.
type Plugin struct {
	Name  string
	Stage Stage
	// Start sets up the plug-in and returns its actors, which run once all
	// plug-ins are set up.
	Start func(rt *Runtime) ([]Actor, error)
}

var registered []Plugin

// Register adds a plug-in. Call it only from init functions.
func Register(p Plugin) {
	for _, other := range registered {
		if other.Name == p.Name {
			panic(fmt.Sprintf("plug-in %s is registered twice", p.Name))
		}
	}
	registered = append(registered, p)
	slices.SortStableFunc(registered, func(a, b Plugin) int { return int(a.Stage) - int(b.Stage) })
}

// Find returns the first part passed to Provide that implements T.
func Find[T any](rt *Runtime) (T, bool) {
	for _, part := range rt.parts {
		if found, ok := part.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}
