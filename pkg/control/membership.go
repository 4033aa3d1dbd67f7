package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"bramblelift/pkg/admin"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/replica"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/storage"
	"bramblelift/pkg/wire"
)

const (
	joinInterval = 250 * time.Millisecond
	// createRetryPause is the pause between attempts to create the state while the disk rejects writes.
	createRetryPause = 200 * time.Millisecond
)

// membershipView is the membership as read by goroutines other than the event loop.
type membershipView struct {
	members []raft.Member
	servers []protocol.Server
	leader  raft.Member
	leading bool
}

// memberName returns the replica's name in the membership. With seeds it is the replica's address,
// because the initial members know only each other's addresses.
func memberName(config settings.Control) string {
	if len(config.Seeds) > 0 {
		return config.Advertise
	}
	return config.Name
}

// ownAddress returns the address at which other replicas reach this one.
func ownAddress(config settings.Control) string {
	for _, peer := range config.Replicas {
		if peer.Name == config.Name {
			return peer.Address
		}
	}
	return config.Advertise
}

// initialMembers returns the members of a new cluster.
func initialMembers(config settings.Control) []raft.Member {
	var all []raft.Member
	for _, peer := range config.Replicas {
		all = append(all, raft.Member{Name: peer.Name, Address: peer.Address, Zone: peer.Zone})
	}
	addresses := config.SeedAddresses()
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		all = append(all, raft.Member{Name: address, Address: address})
	}
	return all
}

// createState creates the state in an empty data folder. It retries while the disk rejects writes,
// because a restart of the process would not help, until ctx ends.
func (s *Server) createState(ctx context.Context, files storage.FileSystem) error {
	bootstrap := s.settings.Found && slices.Contains(s.settings.SeedAddresses(), s.settings.Advertise)
	s.logger.Log("event", "empty_data_folder", "founding", bootstrap)
	for {
		var err error
		if bootstrap {
			err = replica.CreateFirst(files, s.settings.Cluster, memberName(s.settings), initialMembers(s.settings))
		} else {
			err = replica.CreateJoining(files, s.settings.Cluster, memberName(s.settings), replica.NewReplicaID())
		}
		if !errors.Is(err, storage.ErrWriteRejected) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("create state: %w", errors.Join(ctx.Err(), err))
		case <-time.After(createRetryPause):
		}
	}
}

// refreshMembershipView publishes the current membership to the other goroutines and logs changes.
func (s *Server) refreshMembershipView() {
	node := s.replica.Node()
	members := node.Membership().Members
	leader, _ := node.Membership().Find(node.Leader())
	leading := node.Role() == raft.Leader
	previous := s.membership.Load()
	if previous != nil && previous.leader == leader && previous.leading == leading && slices.Equal(previous.members, members) {
		return
	}
	next := &membershipView{members: slices.Clone(members), leader: leader, leading: leading}
	for _, member := range members {
		if !member.Learner {
			next.servers = append(next.servers, protocol.Server{Address: member.Address, Zone: member.Zone})
		}
	}
	s.membership.Store(next)
	if previous != nil && !slices.Equal(previous.members, members) {
		s.logger.Log("event", "membership", "members", len(members), "voters", len(next.servers), "commit", node.Commit())
	}
}

// SetSeeds replaces the seed addresses after the settings were reloaded.
func (s *Server) SetSeeds(addresses []string) { s.seeds.Store(&addresses) }

// servers returns the voting replicas that nodes may subscribe to, or nil without seeds.
func (s *Server) servers() []protocol.Server {
	if view := s.membership.Load(); view != nil && len(s.settings.Seeds) > 0 {
		return view.servers
	}
	return nil
}

// runJoinLoop requests membership from the other replicas while this one isn't a voter, is recorded with
// outdated attributes, or has no contact with a leader, since it may have been removed during a partition.
func (p *peerSet) runJoinLoop() {
	for p.ctx.Err() == nil {
		var member raft.Member
		var targets []string
		err := p.server.runOnLoop(p.ctx, func(now time.Duration) {
			member = p.server.joinRequest(now)
			targets = p.server.otherReplicas()
		})
		if err != nil {
			return
		}
		if member.ID != 0 {
			p.sendJoinRequests(member, targets)
		}
		select {
		case <-p.ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

// joinRequest returns the membership to request, or the zero member if none is needed. It runs on the
// event loop.
func (s *Server) joinRequest(now time.Duration) raft.Member {
	node := s.replica.Node()
	desired := raft.Member{
		ID: node.ID(), Name: memberName(s.settings), Zone: s.settings.Zone,
		Address: ownAddress(s.settings), Interface: s.settings.InterfaceListen,
	}
	member, found := node.Membership().Find(node.ID())
	if !found || member.Learner {
		return desired
	}
	if len(s.settings.Seeds) == 0 {
		return raft.Member{}
	}
	if member != desired {
		// If this replica leads, it handles its own request directly.
		s.replica.Join(now, desired)
		return desired
	}
	if now-node.LastLeaderContact(now) > 2*time.Duration(s.settings.ElectionTimeout) {
		return desired
	}
	return raft.Member{}
}

// handleJoin applies a join request and forwards it to the leader unless it was forwarded already.
// It runs on the event loop.
func (s *Server) handleJoin(join protocol.Join) {
	s.replica.Join(s.clock.Elapsed(), join.Member)
	node := s.replica.Node()
	if leader := node.Leader(); !join.Forwarded && leader != 0 && leader != node.ID() {
		join.Forwarded = true
		s.peers.queue(leader, outboundFrame{kind: protocol.KindJoin, value: join})
	}
}

// otherReplicas returns the addresses of the other replicas from seeds, settings and membership. It runs
// on the event loop.
func (s *Server) otherReplicas() []string {
	addresses := slices.Clone(*s.seeds.Load())
	for _, peer := range s.settings.Replicas {
		addresses = append(addresses, peer.Address)
	}
	for _, member := range s.replica.Node().Membership().Members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == ownAddress(s.settings) })
}

// sendJoinRequests sends the request to all addresses in parallel, so that an unresponsive one delays no other.
func (p *peerSet) sendJoinRequests(member raft.Member, addresses []string) {
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			// An unreachable replica is asked again after joinInterval.
			_ = p.withConn(address, func(conn *wire.Conn) error {
				err := conn.Send(protocol.KindJoin, protocol.Join{Member: member})
				if err != nil {
					p.server.logger.Log("event", "join_request_failed", "peer", address, "error", err)
				}
				return err
			})
		})
	}
	group.Wait()
}

// openPlatformAPI opens the listener of the platform API, if one is configured.
func (s *Server) openPlatformAPI() error {
	if s.settings.InterfaceListen == "" || s.newPlatformAPI == nil {
		return nil
	}
	var err error
	s.platformAPIListener, err = net.Listen("tcp", s.settings.InterfaceListen)
	return err
}

// LeaderAddress returns the address of the leader's platform API, empty if unknown, and
// whether this replica is the leader.
func (s *Server) LeaderAddress() (address string, self bool) {
	view := s.membership.Load()
	if view == nil {
		return "", false
	}
	return view.leader.Interface, view.leading
}

// servePlatformAPI serves the platform API until the context ends.
func (s *Server) servePlatformAPI(ctx context.Context) {
	if s.platformAPIListener == nil {
		return
	}
	server := admin.NewServer(s.newPlatformAPI(s), platformAPIRequestTimeout)
	context.AfterFunc(ctx, func() { server.Close() })
	_ = server.Serve(s.platformAPIListener)
}
