package catalog

import (
	"testing"

	"bramblelift/pkg/quarantine"

	"github.com/matryer/is"
)

// Quarantines must survive a change of leader and a restart from a snapshot. Otherwise the requests would
// crash back ends again.
func TestQuarantineSurvivesSnapshots(t *testing.T) {
	is := is.New(t)
	c := New()
	for _, instance := range []string{"i1", "i2", "i3"} {
		crash := quarantine.End{Request: "r", Instance: instance, Way: quarantine.Way{Caller: "shop", Service: "orders"}}
		command := Command{Suspects: &quarantine.Change{Evidence: quarantine.Evidence{Ends: []quarantine.End{crash}}}}
		encoded, err := command.Encode()
		is.NoErr(err)
		decoded, err := DecodeCommand(encoded)
		is.NoErr(err)
		c.Apply(decoded)
	}
	c.Apply(Command{Suspects: &quarantine.Change{Verdicts: []quarantine.Verdict{{Request: "r", Ruling: quarantine.Impose}}}})
	is.Equal(c.State().Watchlist.Entries, []quarantine.Entry{{Request: "r", Quarantined: true}})
	data, err := c.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.State().Watchlist, c.State().Watchlist)
	is.Equal(restored.State().Suspects, c.State().Suspects)
}
