package raft

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Member is one replica as the membership knows it.
type Member struct {
	ID ReplicaID
	// Name is the machine's name; it stays when a lost disk is replaced and the
	// ID changes.
	Name string
	// Address is where the other replicas reach it.
	Address string
	Zone    string
	// Interface is where the replica answers operators' calls, for those that another
	// replica sends on; empty if it is not known.
	Interface string
	// Learner receives the log but neither votes nor counts for a quorum.
	Learner bool
}

// Membership is the set of replicas of the cluster. It takes effect as soon as it
// stands in a replica's log, committed or not.
type Membership struct {
	Members []Member
}

// Find returns the member with the given ID.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id votes.
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

// Quorum is the number of voters that make a majority.
func (m Membership) Quorum() int {
	return len(m.Voters())/2 + 1
}

// WithLearner returns a copy in which member has joined as a learner.
func (m Membership) WithLearner(member Member) Membership {
	member.Learner = true
	return Membership{Members: append(slices.Clone(m.Members), member)}
}

// WithPromoted returns a copy in which the learner id votes.
func (m Membership) WithPromoted(id ReplicaID) Membership {
	members := slices.Clone(m.Members)
	for i := range members {
		if members[i].ID == id {
			members[i].Learner = false
		}
	}
	return Membership{Members: members}
}

// WithUpdated returns a copy that describes a member as given; whether it votes stays.
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

// Without returns a copy without id.
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

// DecodeMembership reads the data of an EntryMembership entry.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := json.Unmarshal(data, &m); err != nil {
		return Membership{}, fmt.Errorf("decode membership entry: %w", err)
	}
	return m, nil
}

// indexedMembership is a membership and the log index that brought it.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the memberships in the log, oldest first, so that a
// truncation of the log can take an uncommitted one back.
type membershipHistory struct {
	items []indexedMembership
}

func (h *membershipHistory) current() indexedMembership {
	return h.items[len(h.items)-1]
}

func (h *membershipHistory) add(index uint64, m Membership) {
	h.items = append(h.items, indexedMembership{index: index, membership: m})
}

// truncateFrom forgets the memberships brought by entries from index on.
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

// compactTo drops the memberships that a later one up to index replaces.
func (h *membershipHistory) compactTo(index uint64) {
	for len(h.items) > 1 && h.items[1].index <= index {
		h.items = h.items[1:]
	}
}
