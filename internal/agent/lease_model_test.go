package agent

import (
	"fmt"
	"testing"
)

// The model of docs/zones-design.md: one task on one worker, its owner A inside a zone and
// a node B outside that may take its part over, the state service's records, one user
// who cancels. Every link may be cut or held between any two steps, which is to say that
// any step may or may not come; time moves between any two. All reachable states are
// visited.

// Times of the model, in ticks.
const (
	modelLease       = 2
	modelCancel      = 4
	modelMaxStateAge = modelCancel - modelLease - 1 // the limit of today's rule
	modelSessionTTL  = 1                            // of a session
	modelMaxAge      = modelCancel + 1              // ages beyond it are alike
)

// leasePolicy is how nodes renew leases and tell cancellations.
type leasePolicy struct {
	renewOnStaleState     bool // leases are renewed on a view of any age
	confirmedCancellation bool // a cancellation is told once no task is bound in the records
	agentMayHang          bool // the worker may hang, when it ends nothing by itself
	renewWithoutState     bool // a process without any view renews leases under the worker's own token
}

// nodeView is what a node believes.
type nodeView struct {
	cancelled bool
	stateAge  int8 // of its view
	taskLeft  bool // it has seen that the task has left the worker
}

// modelState is one state of the model.
type modelState struct {
	nodeA, nodeB   nodeView
	sessionAge     int8 // age of A's session
	ownedByB       bool // the records name B as owner
	cancelled      bool // the records say so
	bound          bool // the records bind the task to the worker
	taskRuns       bool // it is on the worker
	secondStarted  bool // it was started on another one
	fencingToken   int8 // highest that the worker has seen: A's is 1, B's 2
	leaseAge       int8 // since the worker's last answered report
	hung           bool
	confirmedSince int8 // since the user was told; -1: not yet
}

// successors gives all states that one step leads to.
func (p leasePolicy) successors(s modelState) []modelState {
	var out []modelState
	step := func(able bool, do func(*modelState)) {
		if able {
			n := s
			do(&n)
			if n != s {
				out = append(out, n)
			}
		}
	}
	// Views and records.
	step(true, func(n *modelState) { n.nodeA.cancelled, n.nodeA.stateAge = n.cancelled, 0; n.sessionAge = 0 })
	step(true, func(n *modelState) { n.nodeB.cancelled, n.nodeB.stateAge = n.cancelled, 0 })
	step(!s.cancelled, func(n *modelState) { n.cancelled = true })
	step(!s.ownedByB && s.sessionAge > modelSessionTTL, func(n *modelState) { n.ownedByB = true; n.nodeB.cancelled, n.nodeB.stateAge = n.cancelled, 0 })
	// A report is answered. A may be the owner or a caretaker: its token is the same.
	answer := func(me func(*modelState) *nodeView, token int8) func(*modelState) {
		return func(n *modelState) {
			if token < n.fencingToken {
				return // the worker drops it
			}
			n.fencingToken, n.leaseAge = token, 0
			if me(n).cancelled {
				n.taskRuns = false
			}
			me(n).taskLeft = !n.taskRuns
		}
	}
	step(!s.hung && (p.renewOnStaleState || s.nodeA.stateAge <= modelMaxStateAge), answer(func(n *modelState) *nodeView { return &n.nodeA }, 1))
	step(!s.hung && s.ownedByB && (p.renewOnStaleState || s.nodeB.stateAge <= modelMaxStateAge), answer(func(n *modelState) *nodeView { return &n.nodeB }, 2))
	step(!s.hung && p.renewWithoutState && s.fencingToken > 0, func(n *modelState) { n.leaseAge = 0 })
	// The owner writes that the task has left, guarded by its ownership; the cloud deletes
	// the machine, or does not.
	step(s.bound && (!s.ownedByB && s.nodeA.taskLeft || s.ownedByB && s.nodeB.taskLeft), func(n *modelState) { n.bound = false })
	step(s.ownedByB, func(n *modelState) { n.taskRuns, n.hung, n.nodeB.taskLeft = false, false, true })
	step(!s.bound && !s.cancelled, func(n *modelState) { n.secondStarted = true })
	step(p.agentMayHang, func(n *modelState) { n.hung = !n.hung })
	step(s.cancelled && s.confirmedSince < 0 && (!p.confirmedCancellation || !s.bound), func(n *modelState) { n.confirmedSince = 0 })
	// Time.
	step(true, func(n *modelState) {
		for _, t := range []*int8{&n.nodeA.stateAge, &n.nodeB.stateAge, &n.sessionAge, &n.leaseAge} {
			*t = min(*t+1, modelMaxAge)
		}
		if n.confirmedSince >= 0 {
			n.confirmedSince = min(n.confirmedSince+1, modelMaxAge)
		}
		if n.leaseAge > modelLease && !n.hung {
			n.taskRuns, n.fencingToken = false, 0 // the worker's next session
		}
	})
	return out
}

// violatedRule names the rule that a state breaks.
func (s modelState) violatedRule() string {
	switch {
	case s.confirmedSince > modelCancel && s.taskRuns:
		return "ran_cancelled"
	case s.secondStarted && s.taskRuns:
		return "ran_twice"
	}
	return ""
}

// explore visits all states and gives their number and the first rule broken.
func (p leasePolicy) explore() (states int, rule string) {
	first := modelState{bound: true, taskRuns: true, fencingToken: 1, confirmedSince: -1}
	seen := map[modelState]bool{first: true}
	for queue := []modelState{first}; len(queue) > 0; queue = queue[1:] {
		if rule = queue[0].violatedRule(); rule != "" {
			return len(seen), rule
		}
		for _, n := range p.successors(queue[0]) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// TestLeaseModel visits every state of the model under each way to renew and to tell.
// What is planted must be found: renewing through a cut, or without a view, while
// cancellations are told at once, and today's rule where a worker hangs and the cloud deletes nothing.
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
		{leasePolicy{renewWithoutState: true, renewOnStaleState: true, confirmedCancellation: true, agentMayHang: true}, ""},
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
