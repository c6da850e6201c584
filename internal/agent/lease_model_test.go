package agent

import (
	"fmt"
	"testing"
)

// This file has the model described in docs/zones-design.md. The model consists of one task on one agent, node A inside
// a zone, which owns the task's shard, a node B outside the zone that may take over the shard, the records in the
// key-value store, and a user who cancels the task. Any link may be down or slow between any two steps, so each step
// may or may not happen, and time may pass between any two steps. The test visits all reachable states.

// Durations in the model, in ticks.
const (
	modelLease  = 2
	modelCancel = 4
	// modelMaxStateAge is the age of the cluster state up to which leases are renewed if cancellations are confirmed
	// immediately.
	modelMaxStateAge = modelCancel - modelLease - 1
	modelSessionTTL  = 1
	modelMaxAge      = modelCancel + 1 // greater ages are treated as equal to it
)

// Fencing tokens in the model. An agent without a session has seen none.
const (
	modelNoToken int8 = iota
	modelTokenA
	modelTokenB
)

// modelNotConfirmed is the confirmedSince of a cancellation that has not been confirmed to the user yet.
const modelNotConfirmed = -1

// leasePolicy is a way to renew leases and to confirm cancellations.
type leasePolicy struct {
	renewOnStaleState     bool // leases are renewed on a cluster state of any age
	confirmedCancellation bool // a cancellation is confirmed once no task is bound in the records
	agentMayHang          bool // a hung agent does not end its tasks when its lease expires
	renewWithoutState     bool // a process without a cluster state renews leases under the agent's own token
}

// nodeView is a node's view of the cluster.
type nodeView struct {
	cancelled bool
	stateAge  int8
	taskLeft  bool // the node has seen that the task left the machine
}

// modelState is one state of the model.
type modelState struct {
	nodeA, nodeB   nodeView
	sessionAge     int8 // age of A's session
	ownedByB       bool // the records have B as the owner
	cancelled      bool // the records show the cancellation
	bound          bool // the records bind the task to the machine
	taskRuns       bool // the task runs on the machine
	secondStarted  bool // the task was started on another machine
	fencingToken   int8 // the highest that the agent has seen
	leaseAge       int8 // since the agent's last answered heartbeat
	agentHangs     bool
	confirmedSince int8 // time since the cancellation was confirmed to the user
}

// modelStep is one step of the model. apply performs it, if it is enabled.
type modelStep struct {
	enabled bool
	apply   func(*modelState)
}

// successors returns all states that are one step away.
func (p leasePolicy) successors(s modelState) []modelState {
	var out []modelState
	steps := append(p.recordSteps(s), p.heartbeatSteps(s)...)
	steps = append(steps, p.ownerSteps(s)...)
	for _, step := range append(steps, modelStep{true, (*modelState).tick}) {
		if !step.enabled {
			continue
		}
		next := s
		step.apply(&next)
		if next != s {
			out = append(out, next)
		}
	}
	return out
}

// recordSteps returns the steps that change the records or in which nodes read them.
func (p leasePolicy) recordSteps(s modelState) []modelStep {
	return []modelStep{
		{true, func(n *modelState) { n.readRecords(&n.nodeA); n.sessionAge = 0 }},
		{true, func(n *modelState) { n.readRecords(&n.nodeB) }},
		{!s.cancelled, func(n *modelState) { n.cancelled = true }},
		{
			!s.ownedByB && s.sessionAge > modelSessionTTL,
			func(n *modelState) { n.ownedByB = true; n.readRecords(&n.nodeB) },
		},
		{
			s.cancelled && s.confirmedSince == modelNotConfirmed && (!p.confirmedCancellation || !s.bound),
			func(n *modelState) { n.confirmedSince = 0 },
		},
	}
}

// heartbeatSteps returns the steps in which a heartbeat is answered. A answers either as the owner or on the owner's
// behalf, with the same token.
func (p leasePolicy) heartbeatSteps(s modelState) []modelStep {
	mayRenew := func(node *nodeView) bool { return p.renewOnStaleState || node.stateAge <= modelMaxStateAge }
	return []modelStep{
		{!s.agentHangs && mayRenew(&s.nodeA), func(n *modelState) { n.answer(&n.nodeA, modelTokenA) }},
		{!s.agentHangs && s.ownedByB && mayRenew(&s.nodeB), func(n *modelState) { n.answer(&n.nodeB, modelTokenB) }},
		{
			!s.agentHangs && p.renewWithoutState && s.fencingToken > modelNoToken,
			func(n *modelState) { n.leaseAge = 0 },
		},
	}
}

// ownerSteps returns the steps of the owner, the cloud and the machine. The owner records that the task has left the
// machine, in a write that is conditional on its ownership. The cloud may or may not delete the machine.
func (p leasePolicy) ownerSteps(s modelState) []modelStep {
	ownerSawTaskLeave := !s.ownedByB && s.nodeA.taskLeft || s.ownedByB && s.nodeB.taskLeft
	return []modelStep{
		{s.bound && ownerSawTaskLeave, func(n *modelState) { n.bound = false }},
		{s.ownedByB, func(n *modelState) { n.taskRuns, n.agentHangs, n.nodeB.taskLeft = false, false, true }},
		{!s.bound && !s.cancelled, func(n *modelState) { n.secondStarted = true }},
		{p.agentMayHang, func(n *modelState) { n.agentHangs = !n.agentHangs }},
	}
}

// readRecords updates a node's view from the records.
func (s *modelState) readRecords(node *nodeView) { node.cancelled, node.stateAge = s.cancelled, 0 }

// answer renews the agent's lease on behalf of a node. The agent ignores a response with a lower token.
func (s *modelState) answer(node *nodeView, fencingToken int8) {
	if fencingToken < s.fencingToken {
		return
	}
	s.fencingToken, s.leaseAge = fencingToken, 0
	if node.cancelled {
		s.taskRuns = false
	}
	node.taskLeft = !s.taskRuns
}

// tick advances time by one tick. An agent whose lease has expired ends its task and begins a new session.
func (s *modelState) tick() {
	for _, age := range []*int8{&s.nodeA.stateAge, &s.nodeB.stateAge, &s.sessionAge, &s.leaseAge} {
		*age = min(*age+1, modelMaxAge)
	}
	if s.confirmedSince != modelNotConfirmed {
		s.confirmedSince = min(s.confirmedSince+1, modelMaxAge)
	}
	if s.leaseAge > modelLease && !s.agentHangs {
		s.taskRuns, s.fencingToken = false, modelNoToken
	}
}

// violatedRule returns the name of the rule that a state violates, or an empty string.
func (s modelState) violatedRule() string {
	switch {
	case s.confirmedSince > modelCancel && s.taskRuns:
		return "ran_cancelled"
	case s.secondStarted && s.taskRuns:
		return "ran_twice"
	}
	return ""
}

// explore visits all states until one violates a rule. It returns the number of states found and the violated rule.
func (p leasePolicy) explore() (states int, rule string) {
	first := modelState{bound: true, taskRuns: true, fencingToken: modelTokenA, confirmedSince: modelNotConfirmed}
	seen := map[modelState]bool{first: true}
	for queue := []modelState{first}; len(queue) > 0; queue = queue[1:] {
		if rule = queue[0].violatedRule(); rule != "" {
			return len(seen), rule
		}
		for _, next := range p.successors(queue[0]) {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), ""
}

// TestLeaseModel explores the model under each combination of policies. It must find the violations of the unsafe
// ones: renewing on a stale cluster state or without any while cancellations are confirmed immediately, and the
// original policy if an agent hangs and the cloud does not delete its machine.
func TestLeaseModel(t *testing.T) {
	for _, c := range []struct {
		leasePolicy
		want string
	}{
		{leasePolicy{}, ""},
		{leasePolicy{agentMayHang: true}, "ran_cancelled"},
		{leasePolicy{renewOnStaleState: true}, "ran_cancelled"},
		{leasePolicy{confirmedCancellation: true}, ""},
		{leasePolicy{renewOnStaleState: true, confirmedCancellation: true}, ""},
		{leasePolicy{renewOnStaleState: true, confirmedCancellation: true, agentMayHang: true}, ""},
		{leasePolicy{renewWithoutState: true}, "ran_cancelled"},
		{leasePolicy{
			renewOnStaleState: true, confirmedCancellation: true, agentMayHang: true, renewWithoutState: true,
		}, ""},
	} {
		t.Run(fmt.Sprintf("%+v", c.leasePolicy), func(t *testing.T) {
			states, rule := c.explore()
			if rule != c.want {
				t.Errorf("%q after %d states, want %q", rule, states, c.want)
			}
			t.Logf("%d states", states)
		})
	}
}
