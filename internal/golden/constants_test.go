package golden_test

import (
	"testing"

	"sableusher/internal/federation"
	"sableusher/internal/wire"
)

// jobConstants returns the kinds, priorities and states of jobs.
func jobConstants() []message {
	return []message{
		{"kind/array", wire.KindArray},
		{"kind/gang", wire.KindGang},
		{"kind/service", wire.KindService},
		{"priority/0", wire.PriorityProduction},
		{"priority/1", wire.PriorityHigh},
		{"priority/2", wire.PriorityNormal},
		{"priority/3", wire.PriorityLow},
		{"job/pending", wire.JobPending},
		{"job/running", wire.JobRunning},
		{"job/done", wire.JobDone},
		{"job/cancelled", wire.JobCancelled},
		{"job/failed", wire.JobFailed},
	}
}

// agentConstants returns the states and exit causes of tasks on a machine, and the kinds of commands.
func agentConstants() []message {
	return []message{
		{"task/fetching", wire.TaskFetchingImage},
		{"task/waiting", wire.TaskAwaitingGang},
		{"task/running", wire.TaskRunning},
		{"task/saving", wire.TaskCheckpointing},
		{"task/exited", wire.TaskExited},
		{"cause/done", wire.ExitCauseDone},
		{"cause/stopped", wire.ExitCauseStopped},
		{"cause/peers", wire.ExitCauseGangMemberLost},
		{"cause/alone", wire.ExitCauseGangIncomplete},
		{"cause/error", wire.ExitCauseError},
		{"cause/no-room", wire.ExitCauseNoCapacity},
		{"cause/busy", wire.ExitCauseAlreadyRunning},
		{"cause/unknown", wire.ExitCauseUnknownTask},
		{"command/start", wire.CommandStart},
		{"command/stop", wire.CommandStop},
		{"command/forget", wire.CommandForget},
	}
}

// cloudAndCellConstants returns the states of machines in the cloud, of transfers between cells, and of other cells.
func cloudAndCellConstants() []message {
	return []message{
		{"machine/booting", wire.MachineBooting},
		{"machine/running", wire.MachineRunning},
		{"machine/failed", wire.MachineFailed},
		{"content-type", wire.ContentType},
		{"transfer/absent", federation.HostAbsent},
		{"transfer/held", federation.HostHeld},
		{"transfer/over", federation.HostEnded},
		{"standing/unknown", federation.StandingUnknown},
		{"standing/joined", federation.StandingJoined},
		{"standing/doubted", federation.StandingSuspected},
		{"standing/lost", federation.StandingLost},
		{"standing/draining", federation.StandingDraining},
		{"standing/returning", federation.StandingReturning},
		{"standing/left", federation.StandingRemoved},
	}
}

// TestConstants checks that the encodings of kinds, states, causes and commands are unchanged.
func TestConstants(t *testing.T) {
	constants := append(jobConstants(), agentConstants()...)
	checkCBOR(t, "constants.txt", append(constants, cloudAndCellConstants()...))
}

// TestPriorityRanks checks the ranks of the priorities, by which every node sorts waiting jobs.
func TestPriorityRanks(t *testing.T) {
	priorities := []wire.Priority{wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}
	if wire.PriorityCount != len(priorities) {
		t.Errorf("PriorityCount is %d, want the number of priorities", wire.PriorityCount)
	}
	for want, priority := range priorities {
		if rank := priority.Rank(); rank != want {
			t.Errorf("%s has rank %d, want %d", priority, rank, want)
		}
	}
}
