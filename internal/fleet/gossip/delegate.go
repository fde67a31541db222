package gossip

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"brassdale/internal/decisions/gossippeers"
)

// maxMetaBytes is memberlist's limit for a member's encoded Metadata.
const maxMetaBytes = 512

// errOtherZone is returned by NotifyAlive for a member that is not a peer.
var errOtherZone = errors.New("member is in another zone")

// leaveNotice is the name of a member that leaves. memberlist notifies the others that a member is gone, but not why.
type leaveNotice string

// Invalidates, Message and Finished make it a memberlist.Broadcast.
func (n leaveNotice) Invalidates(other memberlist.Broadcast) bool {
	return other == memberlist.Broadcast(n)
}

// Message returns the encoded notice.
func (n leaveNotice) Message() []byte { return []byte(n) }

// Finished is called when the notice no longer needs to be passed on.
func (n leaveNotice) Finished() {}

// delegate implements memberlist's callbacks for a Membership. Its methods do not block.
type delegate Membership

var (
	_ memberlist.Delegate         = (*delegate)(nil)
	_ memberlist.EventDelegate    = (*delegate)(nil)
	_ memberlist.ConflictDelegate = (*delegate)(nil)
	_ memberlist.AliveDelegate    = (*delegate)(nil)
)

// NodeMeta returns this member's encoded Metadata. If that is too long, it leaves out the epoch and the voter ID.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	encoded, err := json.Marshal(d.self)
	if err != nil || len(encoded) > min(limit, maxMetaBytes) {
		shortened := d.self
		shortened.Epoch = 0
		shortened.VoterID = 0
		encoded, _ = json.Marshal(shortened) // strings and numbers can always be encoded
	}
	return encoded
}

// NotifyMsg receives a leave notice, which may arrive before or after memberlist detects that the member is gone.
func (d *delegate) NotifyMsg(message []byte) { d.handleLeaveNotice(string(message)) }

// handleLeaveNotice stores the leave notice of a member, and passes it on once.
func (d *delegate) handleLeaveNotice(name string) {
	if d.storeLeaveNotice(name) {
		d.leaveNotices.QueueBroadcast(leaveNotice(name))
	}
}

// storeLeaveNotice stores a leave notice, and reports whether it is the first one of a known member. If the member was found
// gone less than leaveNoticeRetention ago, its state becomes Left.
func (d *delegate) storeLeaveNotice(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	member, known := d.members[name]
	_, hasNotice := d.leaving[name]
	if !known || hasNotice {
		return false
	}
	d.leaving[name] = time.Now()
	if member.State == Gone && time.Since(member.Since) < leaveNoticeRetention {
		member.State = Left
		d.members[name] = member
	}
	return true
}

// GetBroadcasts returns the leave notices to pass on with the next packet.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.leaveNotices.GetBroadcasts(overhead, limit)
}

// LocalState returns the leave notices for an exchange of the whole state, because their packets may have been lost.
func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	encoded, _ := json.Marshal(slices.Collect(maps.Keys(d.leaving))) // strings can always be encoded
	return encoded
}

// MergeRemoteState receives the leave notices of an exchange. It ignores data that it cannot decode.
func (d *delegate) MergeRemoteState(encoded []byte, _ bool) {
	var names []string
	if json.Unmarshal(encoded, &names) != nil {
		return
	}
	for _, name := range names {
		d.handleLeaveNotice(name)
	}
}

// NotifyAlive rejects members that are not peers: builds that gossip with the whole fleet send the members of all zones.
func (d *delegate) NotifyAlive(node *memberlist.Node) error {
	var other Metadata
	if err := json.Unmarshal(node.Meta, &other); err != nil {
		return errOtherZone
	}
	if !gossippeers.ArePeers(d.options.Self.Region, d.options.Self.Zone, other.Region, other.Zone) {
		return errOtherZone
	}
	return nil
}

// NotifyJoin marks a member as Alive.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.updateMember(node, Alive) }

// NotifyUpdate stores a member's changed Metadata.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.updateMember(node, Alive) }

// NotifyLeave marks a member as Gone, or as Left if it sent a leave notice.
func (d *delegate) NotifyLeave(node *memberlist.Node) { d.updateMember(node, Gone) }

// NotifyConflict logs that two members at different addresses have the same name.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.options.Log.Warn("dispatcher name in use twice", "name", existing.Name, "address", existing.Address(), "other_address", other.Address())
}

// updateMember stores a member's state and Metadata, and logs a change of the state. The state is Left instead of Gone if the
// member sent a leave notice.
func (d *delegate) updateMember(node *memberlist.Node, state State) {
	member := Member{Metadata: metadataOf(node), Since: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.members[node.Name]
	_, leaving := d.leaving[node.Name]
	switch {
	case state == Alive && (previous.State == Gone || previous.State == Left):
		delete(d.leaving, node.Name) // it has returned
	case state == Gone && leaving:
		state = Left
	}
	member.State = state
	if previous.State == state {
		member.Since = previous.Since
	}
	d.members[node.Name] = member
	if previous.State != state && node.Name != d.self.Name {
		address := cmp.Or(member.Address, node.Address())
		d.options.Log.Info("member state changed", "name", node.Name, "state", state, "address", address, "zone", member.Zone)
	}
}

// metadataOf returns a member's Metadata. If the member's build encodes it differently, only the name and the address are set.
func metadataOf(node *memberlist.Node) Metadata {
	var metadata Metadata
	if json.Unmarshal(node.Meta, &metadata) != nil || metadata.Name != node.Name {
		return Metadata{Name: node.Name, Address: node.Address()}
	}
	return metadata
}
