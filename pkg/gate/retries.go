package gate

// RetryShare returns the share, from 0 to 1, of the running calls that another back end received
// before. The back end's own outgoing calls cannot be matched to the calls that caused them, so
// this share estimates how many of them are retries.
func (g *Gate) RetryShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retries == 0 {
		return 0
	}
	return float64(g.retries) / float64(max(1, g.running))
}
