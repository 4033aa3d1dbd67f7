package replica

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/storage"

	"github.com/matryer/is"
)

const (
	testElection  = 200 * time.Millisecond
	testHeartbeat = 50 * time.Millisecond
	testTick      = 10 * time.Millisecond
	testRemove    = time.Second
)

// group runs replicas in one goroutine over a network without delay.
type group struct {
	t        *testing.T
	now      time.Duration
	replicas map[string]*Replica
	full     map[string]*bool
	files    map[string]storage.FileSystem
	cut      map[string]bool
	done     []Completion
	random   int64
}

// limitedFiles refuses writes while full is set.
type limitedFiles struct {
	*storage.Folder
	full *bool
}

type limitedFile struct {
	storage.File
	full *bool
}

func (f limitedFile) Write(data []byte) (int, error) {
	if *f.full {
		return 0, errors.New("no space left")
	}
	return f.File.Write(data)
}

func (f limitedFiles) Create(name string) (storage.File, error) {
	file, err := f.Folder.Create(name)
	return limitedFile{file, f.full}, err
}

func (f limitedFiles) OpenAppend(name string) (storage.File, error) {
	file, err := f.Folder.OpenAppend(name)
	return limitedFile{file, f.full}, err
}

// newGroup founds a group of the named replicas.
func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, replicas: map[string]*Replica{}, full: map[string]*bool{}, files: map[string]storage.FileSystem{}, cut: map[string]bool{}}
	var members []raft.Member
	for _, name := range names {
		members = append(members, raft.Member{Name: name, Address: name})
	}
	for _, name := range names {
		g.open(name, func(files storage.FileSystem) error { return CreateFirst(files, "c", name, members) })
	}
	return g
}

func (g *group) open(name string, create func(storage.FileSystem) error) {
	g.t.Helper()
	folder, err := storage.OpenFolder(g.t.TempDir())
	is.New(g.t).NoErr(err)
	full := false
	files := limitedFiles{folder, &full}
	is.New(g.t).NoErr(create(files))
	g.full[name] = &full
	g.files[name] = files
	g.start(name)
}

// start opens a replica from its disk.
func (g *group) start(name string) {
	g.t.Helper()
	r, err := Open(g.now, Config{
		Raft: raft.Config{
			ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, MaxAppendBytes: 1 << 20, KeepEntries: 100,
			Random: func(n int64) int64 { g.random += 61_803_399; return g.random % n },
		},
		CompactAfter: 1000, RemoveAfter: testRemove, ToleratedLosses: 1,
	}, g.files[name])
	is.New(g.t).NoErr(err)
	g.replicas[name] = r
}

// restart ends a replica's process and starts it again.
func (g *group) restart(name string) {
	g.t.Helper()
	is.New(g.t).NoErr(g.replicas[name].Close())
	g.start(name)
}

// join lets a replica with an empty disk ask for membership.
func (g *group) join(name string) {
	if g.replicas[name] == nil {
		id := raft.ReplicaID(1000 + len(g.replicas))
		g.open(name, func(files storage.FileSystem) error { return CreateJoining(files, "c", name, id) })
	}
	member := raft.Member{ID: g.replicas[name].Node().ID(), Name: name, Address: name}
	for other, r := range g.replicas {
		if !g.cut[other] {
			r.Join(g.now, member)
		}
	}
}

// run lets time pass.
func (g *group) run(span time.Duration) {
	for end := g.now + span; g.now < end; g.now += testTick {
		var messages []raft.Message
		for name, r := range g.replicas {
			r.Tick(g.now)
			output, err := r.Flush(g.now)
			is.New(g.t).NoErr(err)
			g.done = append(g.done, output.Completions...)
			if !g.cut[name] {
				messages = append(messages, output.Messages...)
			}
		}
		for _, m := range messages {
			for name, r := range g.replicas {
				if r.Node().ID() == m.To && !g.cut[name] {
					r.Step(g.now, m)
				}
			}
		}
	}
}

func (g *group) leader() (string, *Replica) {
	for name, r := range g.replicas {
		if r.Node().LeaseValid(g.now) {
			return name, r
		}
	}
	return "", nil
}

func (g *group) voters() int {
	_, leader := g.leader()
	if leader == nil {
		return 0
	}
	return len(leader.Node().Membership().Voters())
}

// propose has a change agreed on, through whoever leads.
func (g *group) propose(number int) {
	g.t.Helper()
	is := is.New(g.t)
	_, leader := g.leader()
	is.True(leader != nil)
	change := distribution.Endpoint{Service: "s", ID: fmt.Sprint(number), Incarnation: 1}
	is.NoErr(leader.Propose(ProposalID(number), catalog.Command{Endpoints: &catalog.Endpoints{Changes: []distribution.Endpoint{change}}}))
	g.run(200 * time.Millisecond)
	last := g.done[len(g.done)-1]
	is.Equal(last.Proposal, ProposalID(number))
	is.NoErr(last.Err)
}

// Three found the cluster, a fourth joins: with four, any one may be lost.
func TestGrowthToFour(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.run(time.Second)
	g.propose(1)
	g.join("d")
	g.run(500 * time.Millisecond)
	is.Equal(g.voters(), 4)
	for _, name := range []string{"a", "b", "c", "d"} {
		g.cut[name] = true
		g.run(500 * time.Millisecond)
		is.Equal(g.voters(), 4)
		g.propose(10 + int(name[0]))
		g.cut[name] = false
		g.run(200 * time.Millisecond)
	}
}

// One after the other leaves for good and a newcomer comes at another address: without
// removals the second time would take the majority with it.
func TestReplacementsAtOtherAddresses(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.join("d")
	g.run(time.Second)
	is.Equal(g.voters(), 4)
	for i, name := range []string{"a", "b", "c", "d"} {
		g.cut[name] = true
		g.run(400 * time.Millisecond)
		newcomer := fmt.Sprintf("n%d", i)
		for range 8 {
			g.join(newcomer)
			g.run(100 * time.Millisecond)
		}
		g.propose(i + 1)
		g.run(2 * testRemove)
		is.Equal(g.voters(), 4)
	}
}

// A voter that was only cut off is removed and comes back under its own ID.
func TestCutOffVoterComesBack(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.join("d")
	g.run(time.Second)
	g.cut["d"] = true
	g.run(2 * testRemove)
	is.Equal(g.voters(), 3)
	g.propose(1)
	g.cut["d"] = false
	g.join("d")
	g.run(500 * time.Millisecond)
	is.Equal(g.voters(), 4)
	is.Equal(g.replicas["d"].State().Revision, uint64(1))
	// No more than the tolerated losses allow: three voters stay three.
	g.cut["a"], g.cut["b"] = false, false
	g.cut["c"], g.cut["d"] = true, true
	g.run(3 * testRemove)
	is.Equal(g.voters(), 0) // two of four cannot remove the others
}

// A full disk makes its replica stand still: it does not lead, does not end, and heals.
func TestFullDiskStandsStillAndHeals(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.run(time.Second)
	g.propose(1)
	name, stuck := g.leader()
	*g.full[name] = true
	is.NoErr(stuck.Propose(2, catalog.Command{Endpoints: &catalog.Endpoints{}}))
	g.run(time.Second)
	is.True(stuck.Stalled())
	is.True(errors.Is(g.done[len(g.done)-1].Err, ErrUnknownOutcome)) // told at once
	next, _ := g.leader()
	is.True(next != name && next != "")
	is.True(!stuck.Node().LeaseValid(g.now))
	g.propose(3)
	*g.full[name] = false
	g.run(time.Second)
	is.True(!stuck.Stalled())
	is.Equal(stuck.State().Revision, uint64(2))
	g.propose(4)
	is.Equal(g.voters(), 3)
}

// A newcomer that has not spoken yet is given the same time as anybody: the leader added and
// removed one in turn, thousands of times. Found by the simulator (four replicas, full-disk,
// replace-control and kill-leader, seed 7).
func TestSilentNewcomerIsGivenTime(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.run(2 * testRemove)
	_, leader := g.leader()
	before := leader.Node().LastIndex()
	g.join("d")
	g.cut["d"] = true
	g.run(testRemove / 2)
	is.Equal(len(leader.Node().Membership().Members), 4)
	is.True(leader.Node().LastIndex() <= before+1)
	g.run(2 * testRemove) // it is removed once, and added again since it still asks
	is.True(leader.Node().LastIndex() <= before+6)
}
