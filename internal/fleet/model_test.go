package fleet

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
	modelLease  = 2
	modelCancel = 4
	modelStale  = modelCancel - modelLease - 1 // the limit of today's rule
	modelTTL    = 1                            // of a session
	modelEnd    = modelCancel + 1              // ages beyond it are alike
)

// policy is how nodes renew leases and tell cancellations.
type policy struct {
	through bool // leases are renewed on a view of any age
	certain bool // a cancellation is told once no task is bound in the records
	hangs   bool // the worker may hang, when it ends nothing by itself
	blind   bool // a process without any view renews leases under the worker's own token
}

// side is what a node believes.
type side struct {
	cancelled bool
	age       int8 // of its view
	gone      bool // it has seen that the task has left the worker
}

// state is one state of the model.
type state struct {
	a, b      side
	session   int8 // age of A's session
	ownerB    bool // the records name B as owner
	cancelled bool // the records say so
	bound     bool // the records bind the task to the worker
	task      bool // it is on the worker
	second    bool // it was started on another one
	token     int8 // highest that the worker has seen: A's is 1, B's 2
	lease     int8 // since the worker's last answered report
	hung      bool
	told      int8 // since the user was told; -1: not yet
}

// steps gives all states that one step leads to.
func (p policy) steps(s state) []state {
	var out []state
	step := func(able bool, do func(*state)) {
		if able {
			n := s
			do(&n)
			if n != s {
				out = append(out, n)
			}
		}
	}
	// Views and records.
	step(true, func(n *state) { n.a.cancelled, n.a.age = n.cancelled, 0; n.session = 0 })
	step(true, func(n *state) { n.b.cancelled, n.b.age = n.cancelled, 0 })
	step(!s.cancelled, func(n *state) { n.cancelled = true })
	step(!s.ownerB && s.session > modelTTL, func(n *state) { n.ownerB = true; n.b.cancelled, n.b.age = n.cancelled, 0 })
	// A report is answered. A may be the owner or a caretaker: its token is the same.
	answer := func(me func(*state) *side, token int8) func(*state) {
		return func(n *state) {
			if token < n.token {
				return // the worker drops it
			}
			n.token, n.lease = token, 0
			if me(n).cancelled {
				n.task = false
			}
			me(n).gone = !n.task
		}
	}
	step(!s.hung && (p.through || s.a.age <= modelStale), answer(func(n *state) *side { return &n.a }, 1))
	step(!s.hung && s.ownerB && (p.through || s.b.age <= modelStale), answer(func(n *state) *side { return &n.b }, 2))
	step(!s.hung && p.blind && s.token > 0, func(n *state) { n.lease = 0 })
	// The owner writes that the task has left, guarded by its ownership; the cloud deletes
	// the machine, or does not.
	step(s.bound && (!s.ownerB && s.a.gone || s.ownerB && s.b.gone), func(n *state) { n.bound = false })
	step(s.ownerB, func(n *state) { n.task, n.hung, n.b.gone = false, false, true })
	step(!s.bound && !s.cancelled, func(n *state) { n.second = true })
	step(p.hangs, func(n *state) { n.hung = !n.hung })
	step(s.cancelled && s.told < 0 && (!p.certain || !s.bound), func(n *state) { n.told = 0 })
	// Time.
	step(true, func(n *state) {
		for _, t := range []*int8{&n.a.age, &n.b.age, &n.session, &n.lease} {
			*t = min(*t+1, modelEnd)
		}
		if n.told >= 0 {
			n.told = min(n.told+1, modelEnd)
		}
		if n.lease > modelLease && !n.hung {
			n.task, n.token = false, 0 // the worker's next session
		}
	})
	return out
}

// broken names the rule that a state breaks.
func (s state) broken() string {
	switch {
	case s.told > modelCancel && s.task:
		return "ran_cancelled"
	case s.second && s.task:
		return "ran_twice"
	}
	return ""
}

// explore visits all states and gives their number and the first rule broken.
func (p policy) explore() (states int, rule string) {
	first := state{bound: true, task: true, token: 1, told: -1}
	seen := map[state]bool{first: true}
	for queue := []state{first}; len(queue) > 0; queue = queue[1:] {
		if rule = queue[0].broken(); rule != "" {
			return len(seen), rule
		}
		for _, n := range p.steps(queue[0]) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// TestLeasesModel visits every state of the model under each way to renew and to tell.
// What is planted must be found: renewing through a cut, or without a view, while
// cancellations are told at once, and today's rule where a worker hangs and the cloud deletes nothing.
func TestLeasesModel(t *testing.T) {
	for _, c := range []struct {
		policy
		want string
	}{
		{policy{}, ""},
		{policy{hangs: true}, "ran_cancelled"},
		{policy{through: true}, "ran_cancelled"},
		{policy{certain: true}, ""},
		{policy{through: true, certain: true}, ""},
		{policy{through: true, certain: true, hangs: true}, ""},
		{policy{blind: true}, "ran_cancelled"},
		{policy{blind: true, through: true, certain: true, hangs: true}, ""},
	} {
		t.Run(fmt.Sprintf("%+v", c.policy), func(t *testing.T) {
			states, rule := c.explore()
			if rule != c.want {
				t.Errorf("%q after %d states, want %q", rule, states, c.want)
			}
			t.Logf("%d states", states)
		})
	}
}
