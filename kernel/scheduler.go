package kernel

import (
	"mangoloft/control"
	"mangoloft/decide"
)

// newScheduler returns the scheduler for an instance in the data centre.
var newScheduler = func(dataCentre string) control.Scheduler { return decide.New(dataCentre) }

// ReplaceScheduler makes all instances of this process use another scheduler. It
// must be called before Run. Only programs for measurements call it: the product has
// one scheduler.
func ReplaceScheduler(replacement func(dataCentre string) control.Scheduler) {
	newScheduler = replacement
}
