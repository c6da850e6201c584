package agent

import (
	"fmt"
	"testing"
)

// The model of docs/zones-design.md: one task on one agent, its owner A inside a zone and a node B outside that
// may take its shard over, the records of the key-value store, one user who cancels. Every link may be cut or
// held between any two steps, which is to say that any step may or may not come; time moves between any two.
// All reachable states are visited.

// Times of the model, in ticks.
const (
	modelLease  = 2
	modelCancel = 4
	// modelMaxStateAge is the age up to which leases are renewed where cancellations are confirmed at once.
	modelMaxStateAge = modelCancel - modelLease - 1
	modelSessionTTL  = 1
	modelMaxAge      = modelCancel + 1 // ages beyond it are alike
)

// Fencing tokens of the model: an agent without a session has seen none.
const (
	modelNoToken int8 = iota
	modelTokenA
	modelTokenB
)

// modelNotConfirmed is confirmedSince of a cancellation that the user was not told of yet.
const modelNotConfirmed = -1

// leasePolicy is how nodes renew leases and confirm cancellations.
type leasePolicy struct {
	renewOnStaleState     bool // leases are renewed on a cluster state of any age
	confirmedCancellation bool // a cancellation is confirmed once no task is bound in the records
	agentMayHang          bool // in which state it ends nothing by itself
	renewWithoutState     bool // a process without any cluster state renews leases under the agent's own token
}

// nodeView is what a node believes.
type nodeView struct {
	cancelled bool
	stateAge  int8
	taskLeft  bool // it has seen that the task has left the machine
}

// modelState is one state of the model.
type modelState struct {
	nodeA, nodeB   nodeView
	sessionAge     int8 // of A
	ownedByB       bool // the records name B as owner
	cancelled      bool // the records say so
	bound          bool // the records bind the task to the machine
	taskRuns       bool // on the machine
	secondStarted  bool // the task was started on another one
	fencingToken   int8 // the highest that the agent has seen
	leaseAge       int8 // since the agent's last answered heartbeat
	agentHangs     bool
	confirmedSince int8 // since the user was told of the cancellation
}

// modelStep is one step of the model: where it is enabled, apply makes it.
type modelStep struct {
	enabled bool
	apply   func(*modelState)
}

// successors gives all states that one step leads to.
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

// recordSteps are those of the records and of what nodes read in them.
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

// heartbeatSteps are those in which a heartbeat is answered. A may be the owner or answer in the owner's stead:
// its token is the same.
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

// ownerSteps are those of the owner, the cloud and the machine: the owner writes that the task has left, guarded
// by its ownership; the cloud deletes the machine, or does not.
func (p leasePolicy) ownerSteps(s modelState) []modelStep {
	ownerSawTaskLeave := !s.ownedByB && s.nodeA.taskLeft || s.ownedByB && s.nodeB.taskLeft
	return []modelStep{
		{s.bound && ownerSawTaskLeave, func(n *modelState) { n.bound = false }},
		{s.ownedByB, func(n *modelState) { n.taskRuns, n.agentHangs, n.nodeB.taskLeft = false, false, true }},
		{!s.bound && !s.cancelled, func(n *modelState) { n.secondStarted = true }},
		{p.agentMayHang, func(n *modelState) { n.agentHangs = !n.agentHangs }},
	}
}

// readRecords brings what a node believes up to date.
func (s *modelState) readRecords(node *nodeView) { node.cancelled, node.stateAge = s.cancelled, 0 }

// answer renews the agent's lease in a node's name. The agent drops an answer under a lower token.
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

// tick moves time on. An agent whose lease has expired ends its task and begins a new session.
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

// violatedRule names the rule that a state breaks, empty if it breaks none.
func (s modelState) violatedRule() string {
	switch {
	case s.confirmedSince > modelCancel && s.taskRuns:
		return "ran_cancelled"
	case s.secondStarted && s.taskRuns:
		return "ran_twice"
	}
	return ""
}

// explore visits all states and gives their number and the first rule violated.
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

// TestLeaseModel visits every state of the model under each way to renew leases and to confirm cancellations.
// What is planted must be found: renewing on a stale cluster state, or without one, while cancellations are
// confirmed at once, and the oldest policy where an agent hangs and the cloud deletes nothing.
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
