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

// joinValidity is how long a leader keeps a request to join; the joiner repeats it.
const joinValidity = 10 * time.Second

// joinRequest is a replica that wants to replace the machine of the same name.
type joinRequest struct {
	member      raft.Member
	requestedAt time.Duration
}

// FirstReplicaID returns the ID of a machine's first replica. All machines compute
// the same ones when a cluster is created.
func FirstReplicaID(clusterID, name string) raft.ReplicaID {
	return raft.ReplicaID(xxhash.Sum64String(clusterID+"\x00"+name) | 1)
}

// NewReplicaID draws the ID of a replica on an empty disk.
func NewReplicaID() raft.ReplicaID {
	return raft.ReplicaID(rand.Uint64() | 1)
}

// FirstMembership returns the membership that a cluster is created with. Members
// carry name, address and zone.
func FirstMembership(clusterID string, members []raft.Member) raft.Membership {
	var membership raft.Membership
	for _, member := range members {
		member.ID = FirstReplicaID(clusterID, member.Name)
		member.Learner = false
		membership.Members = append(membership.Members, member)
	}
	return membership
}

// CreateFirst makes the durable state of one of the first replicas of a cluster. It
// must be done once in the life of a cluster: done again on an empty disk it would
// make a replica that has forgotten its votes.
func CreateFirst(files storage.FileSystem, clusterID, name string, members []raft.Member) error {
	membership := FirstMembership(clusterID, members)
	identity := storage.Identity{ClusterID: clusterID, Name: name, ReplicaID: FirstReplicaID(clusterID, name)}
	if _, found := membership.Find(identity.ReplicaID); !found {
		return fmt.Errorf("create first replica: %q is not among the members", name)
	}
	return storage.Create(files, identity, raft.Snapshot{Index: 1, Term: 1, Membership: membership})
}

// CreateJoining makes the durable state of a replica on an empty disk. It votes for
// nobody until a leader has given it the log and made it a voter.
func CreateJoining(files storage.FileSystem, clusterID, name string, id raft.ReplicaID) error {
	identity := storage.Identity{ClusterID: clusterID, Name: name, ReplicaID: id}
	return storage.Create(files, identity, raft.Snapshot{})
}

// Join takes in that a replica on an empty disk wants to take the place of the
// machine of the same name.
func (r *Replica) Join(now time.Duration, member raft.Member) {
	r.joins[member.Name] = joinRequest{member: member, requestedAt: now}
}

// reconcileMembership takes the next single step of a replacement: add the new
// replica as a learner, promote it once it holds everything committed, remove the
// old one. The old one goes last, so that at no time fewer copies count than before.
func (r *Replica) reconcileMembership(now time.Duration) {
	if r.node.Role() != raft.Leader || !r.node.MembershipCommitted() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.joins)) {
		join := r.joins[name]
		if now-join.requestedAt > joinValidity {
			delete(r.joins, name)
			continue
		}
		next, step := r.nextMembership(now, join.member)
		if step && r.node.ProposeMembership(next) == nil {
			return
		}
	}
	if r.removeReplaced(now) {
		return
	}
	r.removeSilent(now)
}

// nextMembership returns the next step for a joining replica, if one is due.
func (r *Replica) nextMembership(now time.Duration, joining raft.Member) (raft.Membership, bool) {
	current := r.node.Membership()
	member, found := current.Find(joining.ID)
	if !found {
		if r.holderOfNameAlive(now, joining) {
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

// holderOfNameAlive reports whether another replica of the same name still answers:
// then the request is a mistake, not a replacement.
func (r *Replica) holderOfNameAlive(now time.Duration, joining raft.Member) bool {
	for _, member := range r.node.Membership().Members {
		if member.Name == joining.Name && member.ID != joining.ID && r.node.Alive(now, member.ID) {
			return true
		}
	}
	return false
}

// removeReplaced removes one replica for which a later one of the same name stands:
// the voter that a promoted replica replaces, or a learner whose disk was lost too.
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

// removeSilent removes one replica that has been silent for RemoveAfter, as long as more
// voters stay than the tolerated losses need: a majority must not depend on machines that
// are gone for good. One that was only cut off keeps its disk and its ID, and joins again.
func (r *Replica) removeSilent(now time.Duration) {
	if r.config.RemoveAfter == 0 {
		return
	}
	current := r.node.Membership()
	for _, member := range current.Members {
		if r.node.SinceLastContact(now, member.ID) < r.config.RemoveAfter {
			continue
		}
		if !member.Learner && len(current.Voters()) <= r.config.leastVoters() {
			continue
		}
		_ = r.node.ProposeMembership(current.Without(member.ID))
		return
	}
}

// leastVoters is the number of voters at which the tolerated losses leave a majority.
func (c Config) leastVoters() int { return 2*c.ToleratedLosses + 1 }
