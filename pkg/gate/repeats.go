package gate

// RepeatShare is the share of the calls at work that were at another back end before. The calls that these make
// are made for a second time, too, and nobody can tell which they are.
func (g *Gate) RepeatShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.repeats == 0 {
		return 0
	}
	return float64(g.repeats) / float64(max(1, g.running))
}
