package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sableusher/internal/evacuation"
	"sableusher/internal/testrand"
)

func TestMain(m *testing.M) { testrand.Main(m) }

var (
	testTiming = Timing{HeartbeatInterval: 6 * time.Second, LeaseDuration: 31 * time.Second}
	testStart  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

// partitionedZone is the zone that becomes silent in most tests.
const partitionedZone = "zone-0"

// atSecond returns the time at a second of a test.
func atSecond(second int) time.Time { return testStart.Add(time.Duration(second) * time.Second) }

// tasksOf returns the tasks on a machine: a replica of a service of two if the machine's service can move, and tasks
// of an array otherwise.
func tasksOf(machine *Machine) []evacuation.Task {
	if machine.ServiceMovable {
		return []evacuation.Task{{JobID: "service of " + machine.Name, Kind: evacuation.Service, PlacedReplicas: 2}}
	}
	return make([]evacuation.Task, machine.BoundTasks)
}

// testCluster has a node's machines and advances them in time. Machines that are not silent send one heartbeat per
// interval.
type testCluster struct {
	detector      Detector
	machines      []Machine
	silent        map[string]bool
	reportsToPeer map[string]string // machines that report to another node, with its name
	peersSilent   bool              // the peers do not answer
	deletedAt     map[string]time.Time
}

// newTestCluster returns a cluster of machines with up to four tasks each, distributed over the zones in turn.
func newTestCluster(zones, machinesPerZone int) *testCluster {
	s := &testCluster{
		detector: Detector{Timing: testTiming},
		silent:   map[string]bool{}, reportsToPeer: map[string]string{}, deletedAt: map[string]time.Time{},
	}
	for i := range zones * machinesPerZone {
		s.machines = append(s.machines, Machine{
			Name: fmt.Sprintf("vm-%04d", i), Zone: fmt.Sprint("zone-", i%zones),
			Up: true, BoundTasks: i % 5, OwnedSince: testStart,
		})
	}
	return s
}

// step makes one assessment. Tests call it once per second.
func (s *testCluster) step(now time.Time) Assessment {
	s.sendHeartbeats(now)
	assessment := s.detector.Assess(now, s.machines, tasksOf)
	for i := range s.machines {
		machine := &s.machines[i]
		if !slices.Contains(assessment.ProbeMachines, machine.Name) {
			continue
		}
		if machine.CommandUnanswered = s.silent[machine.Name]; !machine.CommandUnanswered {
			machine.LastReportAt = now
		}
	}
	if len(assessment.QueryPeersAbout) > 0 && !s.peersSilent {
		s.detector.RecordPeerResponses(now, assessment.QueryPeersAbout, s.reportsToPeer)
	}
	for _, deletion := range assessment.Deletions {
		s.deletedAt[deletion.Machine] = now
		s.machines = slices.DeleteFunc(s.machines, func(m Machine) bool { return m.Name == deletion.Machine })
	}
	return assessment
}

// sendHeartbeats sends the heartbeats that are due at now. The machines' heartbeats are spread over the interval.
func (s *testCluster) sendHeartbeats(now time.Time) {
	interval := int(testTiming.HeartbeatInterval / time.Second)
	second := int(now.Sub(testStart) / time.Second)
	for i := range s.machines {
		machine := &s.machines[i]
		if !s.silent[machine.Name] && (second+i)%interval == 0 {
			machine.LastReportAt, machine.CommandUnanswered = now, false
		}
	}
}

// run makes one step for each second in the range [from, to).
func (s *testCluster) run(from, to int) {
	for second := from; second < to; second++ {
		s.step(atSecond(second))
	}
}

// inPartitionedZone returns the machines of the zone that becomes silent.
func (s *testCluster) inPartitionedZone() []*Machine {
	var out []*Machine
	for i := range s.machines {
		if s.machines[i].Zone == partitionedZone {
			out = append(out, &s.machines[i])
		}
	}
	return out
}
