package replica

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bramblelift/pkg/raft"
	"bramblelift/pkg/storage"

	"github.com/cespare/xxhash/v2"
)

// joinRequestTTL is how long a join request is valid. The joining replica repeats the request.
const joinRequestTTL = 10 * time.Second

// joinRequest is the request of a replica to become a member, with the time at which it was
// last received.
type joinRequest struct {
	member      raft.Member
	requestedAt time.Duration
}

// FirstReplicaID returns the ID of a machine's first replica. It is a hash of cluster ID and
// name, so that all machines compute the same IDs when a cluster is created.
func FirstReplicaID(clusterID, name string) raft.ReplicaID {
	return raft.ReplicaID(xxhash.Sum64String(clusterID+"\x00"+name) | 1)
}

// NewReplicaID returns a random ID for a replica on an empty disk.
func NewReplicaID() raft.ReplicaID {
	return raft.ReplicaID(rand.Uint64() | 1)
}

// FirstMembership returns the membership with which a cluster is created, with every member a
// voter under its FirstReplicaID.
func FirstMembership(clusterID string, members []raft.Member) raft.Membership {
	var membership raft.Membership
	for _, member := range members {
		member.ID = FirstReplicaID(clusterID, member.Name)
		member.Learner = false
		membership.Members = append(membership.Members, member)
	}
	return membership
}

// CreateFirst writes the durable state of one of a cluster's initial replicas. It must be called
// only once for each of them: repeated after the loss of a disk, it would create a replica
// without its earlier votes.
func CreateFirst(fsys storage.FileSystem, clusterID, name string, members []raft.Member) error {
	membership := FirstMembership(clusterID, members)
	identity := storage.Identity{ClusterID: clusterID, Name: name, ReplicaID: FirstReplicaID(clusterID, name)}
	if _, found := membership.Find(identity.ReplicaID); !found {
		return fmt.Errorf("create first replica: %q is not among the members", name)
	}
	return storage.Create(fsys, identity, raft.Snapshot{Index: 1, Term: 1, Membership: membership})
}

// CreateJoining writes the durable state of a replica that joins with an empty disk. It does
// not vote until a leader has replicated the log to it and made it a voter.
func CreateJoining(fsys storage.FileSystem, clusterID, name string, id raft.ReplicaID) error {
	identity := storage.Identity{ClusterID: clusterID, Name: name, ReplicaID: id}
	return storage.Create(fsys, identity, raft.Snapshot{})
}

// Join records the request of a replica, usually another one, to join or to update its
// description. A joining replica replaces an unresponsive member of the same name.
func (r *Replica) Join(now time.Duration, member raft.Member) {
	r.joinRequests[member.Name] = joinRequest{member: member, requestedAt: now}
}

// reconcileMembership proposes at most one membership change. A join consists of several: add
// the replica as a learner, promote it when it has everything committed, remove the member that
// it replaces. Removal is last, so that the number of copies never drops.
func (r *Replica) reconcileMembership(now time.Duration) {
	if r.node.Role() != raft.Leader || !r.node.MembershipCommitted() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.joinRequests)) {
		join := r.joinRequests[name]
		if now-join.requestedAt > joinRequestTTL {
			delete(r.joinRequests, name)
			continue
		}
		next, due := r.nextMembership(now, join.member)
		if due && r.node.ProposeMembership(next) == nil {
			return
		}
	}
	if r.removeReplaced(now) {
		return
	}
	r.removeUnresponsive(now)
}

// nextMembership returns the next membership change for a joining replica, and false if none is
// due.
func (r *Replica) nextMembership(now time.Duration, joining raft.Member) (raft.Membership, bool) {
	current := r.node.Membership()
	member, found := current.Find(joining.ID)
	if !found {
		if r.nameInUse(now, joining) {
			return raft.Membership{}, false
		}
		return current.WithLearner(joining), true
	}
	if member.Learner && r.node.Match(joining.ID) >= r.node.Commit() {
		return current.WithPromoted(joining.ID), true
	}
	joining.Learner = member.Learner
	if member != joining {
		return current.WithUpdated(joining), true
	}
	return raft.Membership{}, false
}

// nameInUse reports whether another member of the same name is alive. The join request is then
// a mistake, not a replacement.
func (r *Replica) nameInUse(now time.Duration, joining raft.Member) bool {
	for _, member := range r.node.Membership().Members {
		if member.Name == joining.Name && member.ID != joining.ID && r.node.Alive(now, member.ID) {
			return true
		}
	}
	return false
}

// removeReplaced proposes to remove one unresponsive member that a later one of the same name
// replaces: any member if the later one is a voter, a learner in any case. It reports whether
// it proposed a change.
func (r *Replica) removeReplaced(now time.Duration) bool {
	current := r.node.Membership()
	for i, member := range current.Members {
		for _, later := range current.Members[i+1:] {
			replaced := later.Name == member.Name && (!later.Learner || member.Learner)
			if replaced && !r.node.Alive(now, member.ID) {
				return r.node.ProposeMembership(current.Without(member.ID)) == nil
			}
		}
	}
	return false
}

// removeUnresponsive proposes to remove one member without contact for RemoveAfter, so that a
// majority does not depend on machines that are lost. A voter is removed only if enough remain
// for the tolerated losses. A removed member keeps its disk and ID and can join again.
func (r *Replica) removeUnresponsive(now time.Duration) {
	if r.config.RemoveAfter == 0 {
		return
	}
	current := r.node.Membership()
	for _, member := range current.Members {
		if r.node.SinceLastContact(now, member.ID) < r.config.RemoveAfter {
			continue
		}
		if !member.Learner && len(current.Voters()) <= r.config.minVoters() {
			continue
		}
		_ = r.node.ProposeMembership(current.Without(member.ID))
		return
	}
}

// minVoters returns the number of voters of which a majority remains after the tolerated
// losses.
func (c Config) minVoters() int { return 2*c.ToleratedLosses + 1 }
