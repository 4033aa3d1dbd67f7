package sim

import (
	"slices"

	"bramblelift/pkg/distribution"
)

// garbleShare is how many updates are altered on the way while the fault lasts.
const garbleShare = 0.3

// garbles lists how a faulty server may alter an update. Each works on a copy.
var garbles = []func(u *distribution.Update){
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

// garbled returns the update as a faulty server would send it; mostly it is as it was.
func (n *network) garbled(update *distribution.Update) *distribution.Update {
	if !n.garbling || !n.world.chance(garbleShare) {
		return update
	}
	altered := *update
	altered.Bundles = slices.Clone(update.Bundles)
	altered.Endpoints = slices.Clone(update.Endpoints)
	garbles[n.world.random.IntN(len(garbles))](&altered)
	return &altered
}
