package dispatch

import "time"

// Block blocks the control goroutine until resume is closed.
func (c *Controller) Block(resume <-chan struct{}) {
	c.send(queryCommand{func(time.Time) { <-resume }})
}
