package simulation

import (
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// fakeAgent is a fake of the agent on one machine. It sends heartbeats, executes commands, runs tasks, and stops
// all tasks when its lease expires. The region's lock guards it.
type fakeAgent struct {
	region      *Region
	name        string // of the machine
	address     string
	machineType wire.MachineType
	zone        string
	spot        bool

	session        uint64    // starts with 1; a reboot or the expiry of the lease begins the next
	sequence       uint64    // of the last heartbeat of the session
	fencingToken   uint64    // highest seen in the session
	leaseRenewedAt time.Time // when the heartbeat was sent whose response last renewed the lease
	tasks          map[attempt]*agentTask
	forgotten      map[attempt]bool // attempts of the session that the agent was told to forget
	commandCopies  []commandCopy    // still on their way
	images         map[string]bool

	controllerIndex int // the controller that receives the next heartbeat
	lastHeartbeat   time.Time
	statusChanged   bool      // since the last heartbeat
	tokenReportedAt time.Time // when a higher fencing token last counted as a change of the status
	removed         bool
	agentFaults
}

// agentFaults are the faults of one machine.
type agentFaults struct {
	reclaimAt         time.Time // when the cloud reclaims the machine; zero: no notice was given
	hungUntil         time.Time
	inboundLostUntil  time.Time // heartbeats arrive; responses and commands are lost
	outboundLostUntil time.Time // heartbeats are lost; commands arrive
}

func (f *agentFaults) hung() bool { return time.Now().Before(f.hungUntil) }

func (f *agentFaults) inboundLost() bool { return time.Now().Before(f.inboundLostUntil) }

func (f *agentFaults) outboundLost() bool { return time.Now().Before(f.outboundLostUntil) }

// usable reports whether new tasks can run on the machine: no fault affects it, and the cloud is not about to
// reclaim it.
func (f *agentFaults) usable() bool {
	return !f.hung() && !f.inboundLost() && !f.outboundLost() && f.reclaimAt.IsZero()
}

func newFakeAgent(region *Region, machine *cloudMachine, controllerIndex int) *fakeAgent {
	return &fakeAgent{
		region:          region,
		name:            machine.ID,
		address:         machine.Address,
		machineType:     region.cloud.machineType(machine.MachineType),
		zone:            machine.Zone,
		spot:            machine.Spot,
		session:         1,
		leaseRenewedAt:  time.Now(),
		tasks:           map[attempt]*agentTask{},
		forgotten:       map[attempt]bool{},
		images:          map[string]bool{},
		controllerIndex: controllerIndex,
	}
}

func (a *fakeAgent) placement() Placement {
	return Placement{a.name, a.machineType.Name, a.zone, a.spot}
}

// freeResources returns the machine's capacity less the resources of the tasks that have not exited.
func (a *fakeAgent) freeResources() record.Resources {
	free := record.Capacity(&a.machineType)
	for _, task := range a.tasks {
		if task.State != wire.TaskExited {
			free = free.Minus(record.TaskResources(&task.spec))
		}
	}
	return free
}

// overcommitted reports whether the tasks need more resources than the machine has.
func (a *fakeAgent) overcommitted() bool { return !record.Resources{}.FitsIn(a.freeResources()) }

// reportTasksLost reports to the checker that all tasks have left the machine.
func (a *fakeAgent) reportTasksLost() {
	for _, task := range a.tasks {
		if task.onMachine {
			a.region.Checker.TaskLeft(task.attempt.task, a.name)
		}
	}
}

// reboot begins a new session without tasks and images. The machine hangs until the given time.
func (a *fakeAgent) reboot(until time.Time) {
	clear(a.tasks)
	clear(a.forgotten)
	clear(a.images)
	a.session++
	a.sequence, a.fencingToken, a.hungUntil = 0, 0, until
}

// expireLease stops all tasks and begins a new session.
func (a *fakeAgent) expireLease(now time.Time) {
	for _, task := range a.tasks {
		if task.onMachine {
			a.region.Checker.Observe(leaseExpiryObservation(task.spec.Kind), 1)
		}
		task.exit("")
	}
	clear(a.tasks)
	clear(a.forgotten)
	a.session++
	a.sequence, a.fencingToken = 0, 0
	a.leaseRenewedAt = now
	a.statusChanged = true
}

// status returns the agent's status as a heartbeat, and advances the sequence number.
func (a *fakeAgent) status() wire.Heartbeat {
	a.sequence++
	heartbeat := wire.Heartbeat{
		Machine:      a.name,
		Address:      a.address,
		MachineType:  a.machineType.Name,
		Zone:         a.zone,
		Spot:         a.spot,
		Session:      a.session,
		Sequence:     a.sequence,
		FencingToken: a.fencingToken,
		Tasks:        []wire.TaskStatus{},
	}
	if !a.reclaimAt.IsZero() {
		notice := time.Until(a.reclaimAt).Seconds()
		heartbeat.ReclaimNoticeSeconds = &notice
	}
	for _, task := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, task.TaskStatus)
	}
	return heartbeat
}
