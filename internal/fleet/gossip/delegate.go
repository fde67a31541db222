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

// maxMetaBytes is how much of a Metadata memberlist carries.
const maxMetaBytes = 512

// errOtherZone is how NotifyAlive rejects a member.
var errOtherZone = errors.New("it is of another zone")

// leaveNotice is the name of a member that leaves. memberlist notifies the others that a member is gone, and not why.
type leaveNotice string

// Invalidates, Message and Finished make it a memberlist.Broadcast.
func (n leaveNotice) Invalidates(other memberlist.Broadcast) bool {
	return other == memberlist.Broadcast(n)
}

// Message returns the notice as it is sent.
func (n leaveNotice) Message() []byte { return []byte(n) }

// Finished is called when the notice need no longer be passed on.
func (n leaveNotice) Finished() {}

// delegate is a Membership as memberlist sees it. memberlist calls its methods; they do not block.
type delegate Membership

var (
	_ memberlist.Delegate         = (*delegate)(nil)
	_ memberlist.EventDelegate    = (*delegate)(nil)
	_ memberlist.ConflictDelegate = (*delegate)(nil)
	_ memberlist.AliveDelegate    = (*delegate)(nil)
)

// NodeMeta returns what this member says of itself, encoded; without the epoch and the voter ID where that is too long.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	encoded, err := json.Marshal(d.self)
	if err != nil || len(encoded) > min(limit, maxMetaBytes) {
		brief := d.self
		brief.Epoch = 0
		brief.VoterID = 0
		encoded, _ = json.Marshal(brief) // strings and numbers have no error
	}
	return encoded
}

// NotifyMsg takes a leave notice, which may come before or after memberlist finds the member gone.
func (d *delegate) NotifyMsg(message []byte) { d.noteLeaving(string(message)) }

// noteLeaving notes that a member leaves, and passes the notice on once.
func (d *delegate) noteLeaving(name string) {
	if d.addNotice(name) {
		d.leaveNotices.QueueBroadcast(leaveNotice(name))
	}
}

// addNotice notes a leave notice, and reports whether it is the first one of a known member.
func (d *delegate) addNotice(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	member, known := d.members[name]
	_, noted := d.leaving[name]
	if !known || noted {
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

// LocalState returns the leave notices for an exchange of the whole state, as their packets may have been lost.
func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	encoded, _ := json.Marshal(slices.Collect(maps.Keys(d.leaving))) // strings have no error
	return encoded
}

// MergeRemoteState takes the leave notices of an exchange. What cannot be read is ignored.
func (d *delegate) MergeRemoteState(encoded []byte, _ bool) {
	var names []string
	if json.Unmarshal(encoded, &names) != nil {
		return
	}
	for _, name := range names {
		d.noteLeaving(name)
	}
}

// NotifyAlive rejects members that are no peers: builds that gossip with the whole fleet name all.
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

// NotifyJoin notes a member that is there.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.note(node, Alive) }

// NotifyUpdate notes what a member says of itself anew.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.note(node, Alive) }

// NotifyLeave notes a member that is no longer there.
func (d *delegate) NotifyLeave(node *memberlist.Node) { d.note(node, Gone) }

// NotifyConflict logs that two members at two addresses have one name.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.options.Log.Warn("dispatcher name in use twice", "name", existing.Name, "address", existing.Address(), "other_address", other.Address())
}

// note notes a member's state: Left in place of Gone where a leave notice explains it.
func (d *delegate) note(node *memberlist.Node, state State) {
	member := Member{Metadata: selfOf(node), Since: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.members[node.Name]
	_, leaving := d.leaving[node.Name]
	switch {
	case state == Alive && (before.State == Gone || before.State == Left):
		delete(d.leaving, node.Name) // it is back
	case state == Gone && leaving:
		state = Left
	}
	member.State = state
	if before.State == state {
		member.Since = before.Since
	}
	d.members[node.Name] = member
	if before.State != state && node.Name != d.self.Name {
		address := cmp.Or(member.Address, node.Address())
		d.options.Log.Info("member state changed", "name", node.Name, "state", state, "address", address, "zone", member.Zone)
	}
}

// selfOf returns what a member says of itself; its name and address alone for a build that says it otherwise.
func selfOf(node *memberlist.Node) Metadata {
	var self Metadata
	if json.Unmarshal(node.Meta, &self) != nil || self.Name != node.Name {
		return Metadata{Name: node.Name, Address: node.Address()}
	}
	return self
}
