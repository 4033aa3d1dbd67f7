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
	testElectionTimeout   = 200 * time.Millisecond
	testHeartbeatInterval = 50 * time.Millisecond
	testTick              = 10 * time.Millisecond
	testRemoveAfter       = time.Second
)

// testCluster runs replicas in one goroutine over a network without delay.
type testCluster struct {
	t           *testing.T
	now         time.Duration
	replicas    map[string]*Replica
	diskFull    map[string]*bool
	disks       map[string]storage.FileSystem
	isolated    map[string]bool
	completions []Completion
	random      int64
}

// fullFileSystem fails writes while full is set.
type fullFileSystem struct {
	*storage.Folder
	full *bool
}

type fullFile struct {
	storage.File
	full *bool
}

func (f fullFile) Write(data []byte) (int, error) {
	if *f.full {
		return 0, errors.New("no space left")
	}
	return f.File.Write(data)
}

func (f fullFileSystem) Create(name string) (storage.File, error) {
	file, err := f.Folder.Create(name)
	return fullFile{file, f.full}, err
}

func (f fullFileSystem) OpenAppend(name string) (storage.File, error) {
	file, err := f.Folder.OpenAppend(name)
	return fullFile{file, f.full}, err
}

// newTestCluster creates a cluster of the named replicas.
func newTestCluster(t *testing.T, names ...string) *testCluster {
	g := &testCluster{t: t, replicas: map[string]*Replica{}, diskFull: map[string]*bool{}, disks: map[string]storage.FileSystem{}, isolated: map[string]bool{}}
	var members []raft.Member
	for _, name := range names {
		members = append(members, raft.Member{Name: name, Address: name})
	}
	for _, name := range names {
		g.open(name, func(fsys storage.FileSystem) error { return CreateFirst(fsys, "c", name, members) })
	}
	return g
}

func (g *testCluster) open(name string, create func(storage.FileSystem) error) {
	g.t.Helper()
	folder, err := storage.OpenFolder(g.t.TempDir())
	is.New(g.t).NoErr(err)
	full := false
	fsys := fullFileSystem{folder, &full}
	is.New(g.t).NoErr(create(fsys))
	g.diskFull[name] = &full
	g.disks[name] = fsys
	g.start(name)
}

// start opens a replica from its disk.
func (g *testCluster) start(name string) {
	g.t.Helper()
	r, err := Open(g.now, Config{
		Raft: raft.Config{
			ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, MaxAppendBytes: 1 << 20, KeepEntries: 100,
			Random: func(n int64) int64 { g.random += 61_803_399; return g.random % n },
		},
		CompactAfter: 1000, RemoveAfter: testRemoveAfter, ToleratedLosses: 1,
	}, g.disks[name])
	is.New(g.t).NoErr(err)
	g.replicas[name] = r
}

// restart closes a replica and opens it again.
func (g *testCluster) restart(name string) {
	g.t.Helper()
	is.New(g.t).NoErr(g.replicas[name].Close())
	g.start(name)
}

// join sends a replica's join request to all connected replicas. It creates the replica with an
// empty disk if it does not exist.
func (g *testCluster) join(name string) {
	if g.replicas[name] == nil {
		id := raft.ReplicaID(1000 + len(g.replicas))
		g.open(name, func(fsys storage.FileSystem) error { return CreateJoining(fsys, "c", name, id) })
	}
	member := raft.Member{ID: g.replicas[name].Node().ID(), Name: name, Address: name}
	for other, r := range g.replicas {
		if !g.isolated[other] {
			r.Join(g.now, member)
		}
	}
}

// run advances the time by span in steps of testTick.
func (g *testCluster) run(span time.Duration) {
	for end := g.now + span; g.now < end; g.now += testTick {
		var messages []raft.Message
		for name, r := range g.replicas {
			r.Tick(g.now)
			output, err := r.Flush(g.now)
			is.New(g.t).NoErr(err)
			g.completions = append(g.completions, output.Completions...)
			if !g.isolated[name] {
				messages = append(messages, output.Messages...)
			}
		}
		for _, m := range messages {
			for name, r := range g.replicas {
				if r.Node().ID() == m.To && !g.isolated[name] {
					r.Step(g.now, m)
				}
			}
		}
	}
}

func (g *testCluster) leader() (string, *Replica) {
	for name, r := range g.replicas {
		if r.Node().LeaseValid(g.now) {
			return name, r
		}
	}
	return "", nil
}

func (g *testCluster) voters() int {
	_, leader := g.leader()
	if leader == nil {
		return 0
	}
	return len(leader.Node().Membership().Voters())
}

// propose proposes a change to the leader and requires that it is committed.
func (g *testCluster) propose(number int) {
	g.t.Helper()
	is := is.New(g.t)
	_, leader := g.leader()
	is.True(leader != nil)
	change := distribution.Endpoint{Service: "s", ID: fmt.Sprint(number), Incarnation: 1}
	is.NoErr(leader.Propose(ProposalID(number), catalog.Command{Endpoints: &catalog.Endpoints{Changes: []distribution.Endpoint{change}}}))
	g.run(200 * time.Millisecond)
	last := g.completions[len(g.completions)-1]
	is.Equal(last.Proposal, ProposalID(number))
	is.NoErr(last.Err)
}

// A fourth replica joins a cluster of three. The cluster must then work without any one of
// them.
func TestFourthReplicaJoins(t *testing.T) {
	is := is.New(t)
	g := newTestCluster(t, "a", "b", "c")
	g.run(time.Second)
	g.propose(1)
	g.join("d")
	g.run(500 * time.Millisecond)
	is.Equal(g.voters(), 4)
	for _, name := range []string{"a", "b", "c", "d"} {
		g.isolated[name] = true
		g.run(500 * time.Millisecond)
		is.Equal(g.voters(), 4)
		g.propose(10 + int(name[0]))
		g.isolated[name] = false
		g.run(200 * time.Millisecond)
	}
}

// Each member in turn is lost and replaced by a replica of another name. Lost members must be
// removed, or the second loss would leave no majority.
func TestLostReplicasAreReplacedUnderOtherNames(t *testing.T) {
	is := is.New(t)
	g := newTestCluster(t, "a", "b", "c")
	g.join("d")
	g.run(time.Second)
	is.Equal(g.voters(), 4)
	for i, name := range []string{"a", "b", "c", "d"} {
		g.isolated[name] = true
		g.run(400 * time.Millisecond)
		joiner := fmt.Sprintf("n%d", i)
		for range 8 {
			g.join(joiner)
			g.run(100 * time.Millisecond)
		}
		g.propose(i + 1)
		g.run(2 * testRemoveAfter)
		is.Equal(g.voters(), 4)
	}
}

// A voter that was disconnected and removed must be able to join again under its own ID.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	is := is.New(t)
	g := newTestCluster(t, "a", "b", "c")
	g.join("d")
	g.run(time.Second)
	g.isolated["d"] = true
	g.run(2 * testRemoveAfter)
	is.Equal(g.voters(), 3)
	g.propose(1)
	g.isolated["d"] = false
	g.join("d")
	g.run(500 * time.Millisecond)
	is.Equal(g.voters(), 4)
	is.Equal(g.replicas["d"].State().Revision, uint64(1))
	// With two of four voters lost there is no quorum, so no member may be removed.
	g.isolated["a"], g.isolated["b"] = false, false
	g.isolated["c"], g.isolated["d"] = true, true
	g.run(3 * testRemoveAfter)
	is.Equal(g.voters(), 0) // two of four cannot remove the others
}

// A replica with a full disk must give up leadership without an error, and take part again when
// writes succeed.
func TestReplicaRecoversFromFullDisk(t *testing.T) {
	is := is.New(t)
	g := newTestCluster(t, "a", "b", "c")
	g.run(time.Second)
	g.propose(1)
	name, fullReplica := g.leader()
	*g.diskFull[name] = true
	is.NoErr(fullReplica.Propose(2, catalog.Command{Endpoints: &catalog.Endpoints{}}))
	g.run(time.Second)
	is.True(fullReplica.Stalled())
	is.True(errors.Is(g.completions[len(g.completions)-1].Err, ErrUnknownOutcome)) // the outcome is reported without waiting for the disk
	next, _ := g.leader()
	is.True(next != name && next != "")
	is.True(!fullReplica.Node().LeaseValid(g.now))
	g.propose(3)
	*g.diskFull[name] = false
	g.run(time.Second)
	is.True(!fullReplica.Stalled())
	is.Equal(fullReplica.State().Revision, uint64(2))
	g.propose(4)
	is.Equal(g.voters(), 3)
}

// A joining replica that has not responded yet must not be removed before RemoveAfter.
// Otherwise the leader adds and removes it in a loop.
func TestUnresponsiveJoinerIsNotRemovedEarly(t *testing.T) {
	is := is.New(t)
	g := newTestCluster(t, "a", "b", "c")
	g.run(2 * testRemoveAfter)
	_, leader := g.leader()
	before := leader.Node().LastIndex()
	g.join("d")
	g.isolated["d"] = true
	g.run(testRemoveAfter / 2)
	is.Equal(len(leader.Node().Membership().Members), 4)
	is.True(leader.Node().LastIndex() <= before+1)
	g.run(2 * testRemoveAfter) // it is removed once, and added again because its join request is still valid
	is.True(leader.Node().LastIndex() <= before+6)
}
