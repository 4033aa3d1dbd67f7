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
	*storage.Dir
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
	file, err := f.Dir.Create(name)
	return fullFile{file, f.full}, err
}

func (f fullFileSystem) OpenAppend(name string) (storage.File, error) {
	file, err := f.Dir.OpenAppend(name)
	return fullFile{file, f.full}, err
}

// newTestCluster creates a cluster of the named replicas.
func newTestCluster(t *testing.T, names ...string) *testCluster {
	c := &testCluster{t: t, replicas: map[string]*Replica{}, diskFull: map[string]*bool{}, disks: map[string]storage.FileSystem{}, isolated: map[string]bool{}}
	var members []raft.Member
	for _, name := range names {
		members = append(members, raft.Member{Name: name, Address: name})
	}
	for _, name := range names {
		c.open(name, func(fsys storage.FileSystem) error { return CreateFirst(fsys, "c", name, members) })
	}
	return c
}

func (c *testCluster) open(name string, create func(storage.FileSystem) error) {
	c.t.Helper()
	folder, err := storage.OpenDir(c.t.TempDir())
	is.New(c.t).NoErr(err)
	full := false
	fsys := fullFileSystem{folder, &full}
	is.New(c.t).NoErr(create(fsys))
	c.diskFull[name] = &full
	c.disks[name] = fsys
	c.start(name)
}

// start opens a replica from its disk.
func (c *testCluster) start(name string) {
	c.t.Helper()
	r, err := Open(c.now, Config{
		Raft: raft.Config{
			ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, MaxAppendBytes: 1 << 20, KeepEntries: 100,
			Random: func(n int64) int64 { c.random += 61_803_399; return c.random % n },
		},
		CompactAfter: 1000, RemoveAfter: testRemoveAfter, ToleratedLosses: 1,
	}, c.disks[name])
	is.New(c.t).NoErr(err)
	c.replicas[name] = r
}

// restart closes a replica and opens it again.
func (c *testCluster) restart(name string) {
	c.t.Helper()
	is.New(c.t).NoErr(c.replicas[name].Close())
	c.start(name)
}

// join sends a replica's join request to all connected replicas. It creates the replica with an
// empty disk if it does not exist.
func (c *testCluster) join(name string) {
	if c.replicas[name] == nil {
		id := raft.ReplicaID(1000 + len(c.replicas))
		c.open(name, func(fsys storage.FileSystem) error { return CreateJoining(fsys, "c", name, id) })
	}
	member := raft.Member{ID: c.replicas[name].Node().ID(), Name: name, Address: name}
	for other, r := range c.replicas {
		if !c.isolated[other] {
			r.Join(c.now, member)
		}
	}
}

// run advances the time by span in steps of testTick.
func (c *testCluster) run(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += testTick {
		var messages []raft.Message
		for name, r := range c.replicas {
			r.Tick(c.now)
			output, err := r.Flush(c.now)
			is.New(c.t).NoErr(err)
			c.completions = append(c.completions, output.Completions...)
			if !c.isolated[name] {
				messages = append(messages, output.Messages...)
			}
		}
		for _, m := range messages {
			for name, r := range c.replicas {
				if r.Node().ID() == m.To && !c.isolated[name] {
					r.Step(c.now, m)
				}
			}
		}
	}
}

func (c *testCluster) leader() (string, *Replica) {
	for name, r := range c.replicas {
		if r.Node().LeaseValid(c.now) {
			return name, r
		}
	}
	return "", nil
}

func (c *testCluster) voters() int {
	_, leader := c.leader()
	if leader == nil {
		return 0
	}
	return len(leader.Node().Membership().Voters())
}

// propose proposes a change to the leader and requires that it is committed.
func (c *testCluster) propose(number int) {
	c.t.Helper()
	is := is.New(c.t)
	_, leader := c.leader()
	is.True(leader != nil)
	change := distribution.Endpoint{Service: "s", ID: fmt.Sprint(number), Incarnation: 1}
	is.NoErr(leader.Propose(ProposalID(number), catalog.Command{Endpoints: &catalog.Endpoints{Changes: []distribution.Endpoint{change}}}))
	c.run(200 * time.Millisecond)
	last := c.completions[len(c.completions)-1]
	is.Equal(last.Proposal, ProposalID(number))
	is.NoErr(last.Err)
}

// A fourth replica joins a cluster of three. The cluster must then work without any one of
// them.
func TestFourthReplicaJoins(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, "a", "b", "c")
	c.run(time.Second)
	c.propose(1)
	c.join("d")
	c.run(500 * time.Millisecond)
	is.Equal(c.voters(), 4)
	for _, name := range []string{"a", "b", "c", "d"} {
		c.isolated[name] = true
		c.run(500 * time.Millisecond)
		is.Equal(c.voters(), 4)
		c.propose(10 + int(name[0]))
		c.isolated[name] = false
		c.run(200 * time.Millisecond)
	}
}

// Each member in turn is lost and replaced by a replica of another name. Lost members must be
// removed, or the second loss would leave no majority.
func TestLostReplicasAreReplacedUnderOtherNames(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, "a", "b", "c")
	c.join("d")
	c.run(time.Second)
	is.Equal(c.voters(), 4)
	for i, name := range []string{"a", "b", "c", "d"} {
		c.isolated[name] = true
		c.run(400 * time.Millisecond)
		joiner := fmt.Sprintf("n%d", i)
		for range 8 {
			c.join(joiner)
			c.run(100 * time.Millisecond)
		}
		c.propose(i + 1)
		c.run(2 * testRemoveAfter)
		is.Equal(c.voters(), 4)
	}
}

// A voter that was disconnected and removed must be able to join again under its own ID.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, "a", "b", "c")
	c.join("d")
	c.run(time.Second)
	c.isolated["d"] = true
	c.run(2 * testRemoveAfter)
	is.Equal(c.voters(), 3)
	c.propose(1)
	c.isolated["d"] = false
	c.join("d")
	c.run(500 * time.Millisecond)
	is.Equal(c.voters(), 4)
	is.Equal(c.replicas["d"].State().Revision, uint64(1))
	// With two of four voters lost there is no quorum, so no member may be removed.
	c.isolated["a"], c.isolated["b"] = false, false
	c.isolated["c"], c.isolated["d"] = true, true
	c.run(3 * testRemoveAfter)
	is.Equal(c.voters(), 0) // two of four cannot remove the others
}

// A replica with a full disk must give up leadership without an error, and take part again when
// writes succeed.
func TestReplicaRecoversFromFullDisk(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, "a", "b", "c")
	c.run(time.Second)
	c.propose(1)
	name, fullReplica := c.leader()
	*c.diskFull[name] = true
	is.NoErr(fullReplica.Propose(2, catalog.Command{Endpoints: &catalog.Endpoints{}}))
	c.run(time.Second)
	is.True(fullReplica.Stalled())
	is.True(errors.Is(c.completions[len(c.completions)-1].Err, ErrUnknownOutcome)) // the outcome is reported without waiting for the disk
	next, _ := c.leader()
	is.True(next != name && next != "")
	is.True(!fullReplica.Node().LeaseValid(c.now))
	c.propose(3)
	*c.diskFull[name] = false
	c.run(time.Second)
	is.True(!fullReplica.Stalled())
	is.Equal(fullReplica.State().Revision, uint64(2))
	c.propose(4)
	is.Equal(c.voters(), 3)
}

// A joining replica that has not responded yet must not be removed before RemoveAfter.
// Otherwise the leader adds and removes it in a loop.
func TestUnresponsiveJoinerIsNotRemovedEarly(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, "a", "b", "c")
	c.run(2 * testRemoveAfter)
	_, leader := c.leader()
	before := leader.Node().LastIndex()
	c.join("d")
	c.isolated["d"] = true
	c.run(testRemoveAfter / 2)
	is.Equal(len(leader.Node().Membership().Members), 4)
	is.True(leader.Node().LastIndex() <= before+1)
	c.run(2 * testRemoveAfter) // it is removed once, and added again because its join request is still valid
	is.True(leader.Node().LastIndex() <= before+6)
}
