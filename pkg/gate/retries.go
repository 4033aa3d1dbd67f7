package gate

// RetryShare is the share, from 0 to 1, of the running calls that are retries: they were at another back end
// before. The calls that the back end makes for these are made for a second time, too, but no one can tell
// which they are.
func (g *Gate) RetryShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retries == 0 {
		return 0
	}
	return float64(g.retries) / float64(max(1, g.running))
}
