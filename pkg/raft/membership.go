package raft

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Member describes one replica in the membership.
type Member struct {
	ID ReplicaID
	// Name is the machine's name. It stays the same when a lost disk is replaced, while ID
	// changes.
	Name string
	// Address is where other replicas connect to this one.
	Address string
	Zone    string
	// Interface is the address of the replica's platform API, to which other replicas redirect
	// requests while this one leads; empty if unknown.
	Interface string
	// Learner is set for a replica that receives the log but neither votes nor counts toward a
	// quorum.
	Learner bool
}

// Membership is the set of replicas of the cluster. Each replica uses the newest membership in
// its log, committed or not.
type Membership struct {
	Members []Member
}

// Find returns the member with the given ID, and false if there is none.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voting member.
func (m Membership) IsVoter(id ReplicaID) bool {
	member, found := m.Find(id)
	return found && !member.Learner
}

// Voters returns the IDs of the voting members.
func (m Membership) Voters() []ReplicaID {
	var voters []ReplicaID
	for _, member := range m.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int {
	return len(m.Voters())/2 + 1
}

// WithLearner returns a copy with member added as a learner.
func (m Membership) WithLearner(member Member) Membership {
	member.Learner = true
	return Membership{Members: append(slices.Clone(m.Members), member)}
}

// WithPromoted returns a copy in which the learner id is a voter.
func (m Membership) WithPromoted(id ReplicaID) Membership {
	members := slices.Clone(m.Members)
	for i := range members {
		if members[i].ID == id {
			members[i].Learner = false
		}
	}
	return Membership{Members: members}
}

// WithUpdated returns a copy in which updated replaces the member with the same ID, except that
// the member's Learner field keeps its value.
func (m Membership) WithUpdated(updated Member) Membership {
	members := slices.Clone(m.Members)
	for i := range members {
		if members[i].ID == updated.ID {
			updated.Learner = members[i].Learner
			members[i] = updated
		}
	}
	return Membership{Members: members}
}

// Without returns a copy that lacks the member with the given ID.
func (m Membership) Without(id ReplicaID) Membership {
	members := slices.DeleteFunc(slices.Clone(m.Members), func(member Member) bool {
		return member.ID == id
	})
	return Membership{Members: members}
}

// votersChanged counts the voters that are in only one of the two memberships.
func votersChanged(a, b Membership) int {
	changed := 0
	for _, id := range a.Voters() {
		if !b.IsVoter(id) {
			changed++
		}
	}
	for _, id := range b.Voters() {
		if !a.IsVoter(id) {
			changed++
		}
	}
	return changed
}

func encodeMembership(m Membership) ([]byte, error) {
	return json.Marshal(m)
}

// DecodeMembership decodes the data of an EntryMembership entry.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := json.Unmarshal(data, &m); err != nil {
		return Membership{}, fmt.Errorf("decode membership entry: %w", err)
	}
	return m, nil
}

// indexedMembership is a membership and the index of the log entry that contains it.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the memberships in the log, oldest first, so that truncating the log
// can revert an uncommitted one.
type membershipHistory struct {
	items []indexedMembership
}

func (h *membershipHistory) current() indexedMembership {
	return h.items[len(h.items)-1]
}

func (h *membershipHistory) add(index uint64, m Membership) {
	h.items = append(h.items, indexedMembership{index: index, membership: m})
}

// truncateFrom drops the memberships of the entries from index on.
func (h *membershipHistory) truncateFrom(index uint64) {
	for len(h.items) > 1 && h.current().index >= index {
		h.items = h.items[:len(h.items)-1]
	}
}

// at returns the membership in force at a log index.
func (h *membershipHistory) at(index uint64) Membership {
	found := h.items[0].membership
	for _, item := range h.items {
		if item.index <= index {
			found = item.membership
		}
	}
	return found
}

// compactTo drops the memberships that a later one, up to index, supersedes.
func (h *membershipHistory) compactTo(index uint64) {
	for len(h.items) > 1 && h.items[1].index <= index {
		h.items = h.items[1:]
	}
}
