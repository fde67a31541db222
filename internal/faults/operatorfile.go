package faults

import (
	"fmt"
	"strings"
)

// The numbers of regions and zones of the processes. The raft group spreads its voters over regions and zones. A process gets region
// index % fleetRegions and zone index % fleetZones. The two numbers are coprime, so that neighbours differ in both and six processes have
// six different locations. These zones are unrelated to the emulator's zones in ZoneDeployment.
const (
	fleetRegions = 2
	fleetZones   = 3
)

// operatorFile returns the text of a process's operator file. It is empty without voters.
func (r *run) operatorFile(process *dispatcherProcess) string {
	if r.plan.Voters == 0 {
		return ""
	}
	voterID := 0
	if process.index < r.plan.Voters {
		voterID = process.index + 1
	}
	var text strings.Builder
	region, zone := regionName(process.index%fleetRegions), zoneName(process.index%fleetZones)
	fmt.Fprintf(&text, "council {\n fleet = \"rig\"\n listen = %q\n seat = %d\n directory = %q\n bound = %q\n region = %q\n zone = %q\n",
		process.address, voterID, process.dir, r.plan.Bound, region, zone)
	if r.plan.ReplaceVoterAfter > 0 {
		fmt.Fprintf(&text, " replace = %q\n", r.plan.ReplaceVoterAfter)
	}
	text.WriteString(" voters = [")
	for _, voter := range r.voters() {
		fmt.Fprintf(&text, "%q, ", voter.address)
	}
	text.WriteString("]\n reach = {\n")
	for ends, link := range r.links {
		if ends.from == process.index {
			fmt.Fprintf(&text, "  %q = %q\n", r.processes[ends.to].address, link.Address())
		}
	}
	text.WriteString(" }\n}\n" + r.plan.Zones.operatorBlock() + r.plan.Overload.operatorBlock())
	return text.String()
}
