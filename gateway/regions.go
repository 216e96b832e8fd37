package gateway

// allowsBody returns a function that reports whether the request's body may be sent to the
// instances of a data centre.
func (g *Gateway) allowsBody(q *request) func(dataCentre string) bool {
	if q.regions == nil {
		return func(string) bool { return true }
	}
	regions := g.Dispatcher.Snapshot().Regions
	return func(dataCentre string) bool { return regions.AllowBody(q.regions, g.DataCentre, dataCentre) }
}
