package kernel

import (
	"mangoloft/control"
	"mangoloft/decide"
)

// newScheduler makes the scheduler of an instance in the data centre.
var newScheduler = func(dataCentre string) control.Scheduler { return decide.New(dataCentre) }

// ReplaceScheduler makes all instances of this process use another scheduler.
// It is for measurement builds, before Run; the product has one scheduler.
func ReplaceScheduler(replacement func(dataCentre string) control.Scheduler) {
	newScheduler = replacement
}
