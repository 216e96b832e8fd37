package decide

import (
	"fmt"
	"strings"
	"time"
)

// obstacle is the reason for which a stream is not placed on an engine.
type obstacle uint8

const (
	noObstacle obstacle = iota
	// memoryFull means that the forecast memory exceeds the engine's.
	memoryFull
	slotsFull
	// paceMissed means that a stream there would miss its pace target.
	paceMissed
	// prefillFull means that the engine has a full backlog of prompts to prefill.
	prefillFull
	// remoteSkipped means that the attempt skipped an engine of another data centre.
	remoteSkipped
	obstacleKinds
)

var obstacleNames = [...]string{memoryFull: "memory", slotsFull: "slots", paceMissed: "pace", prefillFull: "prefill backlog", remoteSkipped: "other data centre, skipped"}

// obstacleCounts counts the engines by obstacle, in the latest attempt to place a request.
type obstacleCounts [obstacleKinds]int

// String lists the obstacles for explanations; it is empty without any.
func (c obstacleCounts) String() string {
	var list []string
	for kind, count := range c {
		if count > 0 {
			list = append(list, fmt.Sprintf("%s %d", obstacleNames[kind], count))
		}
	}
	if len(list) == 0 {
		return ""
	}
	return "; engines without room at the last attempt, by obstacle: " + strings.Join(list, ", ")
}

// obstacleAt returns the first obstacle to placing the stream on the engine, whose memory
// would have the given number of free tokens.
func (s *Scheduler) obstacleAt(now time.Time, w *waitingRequest, u *upstream, free float64, hasLocal bool) obstacle {
	switch {
	case free < 0:
		return memoryFull
	case !u.hasSlot():
		return slotsFull
	case !u.meetsPace(w.Request):
		return paceMissed
	case s.prefillBacklogged(now, u):
		return prefillFull
	case hasLocal && s.skipsRemote(now, w, u):
		return remoteSkipped
	}
	return noObstacle
}
