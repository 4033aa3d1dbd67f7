package sim

import (
	"slices"

	"bramblelift/pkg/distribution"
)

// corruptionProbability is the share of updates that are altered while the fault lasts.
const corruptionProbability = 0.3

// corruptions lists how a faulty server may alter an update. Each works on a copy.
var corruptions = []func(u *distribution.Update){
	func(u *distribution.Update) { u.Bundles = nil },
	func(u *distribution.Update) { u.Endpoints = u.Endpoints[:len(u.Endpoints)/2] },
	func(u *distribution.Update) {
		for i := range u.Bundles {
			u.Bundles[i].Delta.HandBack = !u.Bundles[i].Delta.HandBack
		}
	},
	func(u *distribution.Update) {
		for i := range u.Bundles {
			u.Bundles[i].Delta.Secrets = nil
		}
	},
	func(u *distribution.Update) {
		for i := range u.Bundles {
			u.Bundles[i].Delta.Routes = slices.Clone(u.Bundles[i].Delta.Routes)
			for j := range u.Bundles[i].Delta.Routes {
				u.Bundles[i].Delta.Routes[j].Service = "prices"
			}
		}
	},
	func(u *distribution.Update) {
		for i := range u.Bundles {
			u.Bundles[i].Manifest.Version++
		}
	},
}

// maybeCorrupt returns the update, or an altered copy of it while the fault lasts.
func (n *network) maybeCorrupt(update *distribution.Update) *distribution.Update {
	if !n.corrupting || !n.simulation.chance(corruptionProbability) {
		return update
	}
	altered := *update
	altered.Bundles = slices.Clone(update.Bundles)
	altered.Endpoints = slices.Clone(update.Endpoints)
	corruptions[n.simulation.random.IntN(len(corruptions))](&altered)
	return &altered
}
