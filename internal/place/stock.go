package place

import (
	"math"
	"slices"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// node is a machine as a round sees it. Every node plays the same round over all
// machines, so that tasks are dealt across parts by free room without a word
// between nodes; it binds only what is dealt to its own parts. Where views
// differ, the records' guards decide and the loser looks again.
type node struct {
	m        *world.Machine
	capacity world.Amount
	free     world.Amount
	mine     bool
	kept     string
}

// stock is the room of a round. The machines are looked at once for each round,
// and once more for each kind of need that may still find room: a shape that
// found none is remembered, so that a long queue behind a full fleet costs little.
type stock struct {
	ready  []*node // up and fit for tasks, as far as this node knows
	open   []*node // those of them with room for the least that waits
	coming []*node // coming up, or not usable just now

	failed [2][]failure
	looks  int // machines examined, for tests
}

// failure is a need for which there is no room on any machine it may use.
type failure struct {
	need world.Amount
	spec *wire.Spec
}

func (r *round) newStock() *stock {
	s := &stock{}
	caps := map[string]world.Amount{}
	for name, t := range r.world.Types {
		caps[name] = world.Capacity(&t)
	}
	held := map[string]reserve{}
	for name, h := range r.held {
		if !r.now.After(h.until) {
			held[name] = h
		}
	}
	nodes := make([]node, len(r.world.Machines))
	at := 0
	for part, list := range r.world.ByPart {
		token, mine := r.tokens[part]
		for _, m := range list {
			capacity, ok := caps[m.Type]
			if m.Gone || m.Drain || !ok {
				continue
			}
			n := &nodes[at]
			at++
			n.m, n.capacity, n.mine = m, capacity, mine
			n.free = capacity.Plus(m.Used, -1)
			if len(r.moveM) > 0 {
				n.free = n.free.Plus(r.moveM[m.Name], -1)
			}
			if len(held) > 0 {
				n.kept = held[m.Name].ref.Job
			}
			ready := r.live[part] && (m.Up || r.likely(m))
			if mine {
				ready = r.fleet.Look(m.Name, token).Usable
			}
			switch {
			case ready:
				s.ready = append(s.ready, n)
			case !m.Up && r.overdue(m):
				// Others are rented rather than waited for.
			default:
				s.coming = append(s.coming, n)
			}
		}
	}
	return s
}

// overdue tells whether a machine should have come up long ago.
func (r *round) overdue(m *world.Machine) bool {
	late := time.Duration(tuning.BootLate * r.world.Types[m.Type].BootS * float64(time.Second))
	return r.now.Sub(time.UnixMilli(m.AtMs)) > max(late, tuning.BootLateMin)
}

// likely tells whether a machine should be up by now.
func (r *round) likely(m *world.Machine) bool {
	boot := tuning.BootLikely * r.world.Types[m.Type].BootS * float64(time.Second)
	return m.AtMs > 0 && r.now.Sub(time.UnixMilli(m.AtMs)) > time.Duration(boot) && !r.overdue(m)
}

// room tells whether any machine that is up has room at all.
func (s *stock) room() bool {
	return slices.ContainsFunc(s.ready, func(n *node) bool { return share(n.free, n.capacity) > 0 })
}

// narrow puts aside the machines with too little room for the least that waits.
func (s *stock) narrow(queue []due) {
	if len(queue) == 0 {
		return
	}
	least := queue[0].need
	for _, d := range queue {
		least = world.Amount{CPUs: min(least.CPUs, d.need.CPUs), GPUs: min(least.GPUs, d.need.GPUs), Mem: min(least.Mem, d.need.Mem)}
	}
	s.open = slices.DeleteFunc(slices.Clone(s.ready), func(n *node) bool { return !least.Within(n.free) })
}

// fitting gives the machines, up or coming, with room for a task.
func (s *stock) fitting(du *due, ready bool) []*node {
	spec, need := &du.job.Spec, du.need
	list, memo := s.coming, &s.failed[0]
	if ready {
		list, memo = s.open, &s.failed[1]
	}
	for _, f := range *memo {
		if f.need.Within(need) && stricter(spec, f.spec) {
			return nil
		}
	}
	var out []*node
	s.looks += len(list)
	for _, n := range list {
		if need.Within(n.free) && allowed(spec, n.m) {
			out = append(out, n)
		}
	}
	if out == nil && len(*memo) < tuning.FailedShapes {
		*memo = append(*memo, failure{need, spec})
	}
	return out
}

// allowed tells whether a job may use a machine at all.
func allowed(s *wire.Spec, m *world.Machine) bool {
	return (s.Spot || !m.Spot) && (s.Zone == "" || s.Zone == m.Zone) && (len(s.Types) == 0 || slices.Contains(s.Types, m.Type))
}

// stricter tells whether a may use only machines that b may use as well.
func stricter(a, b *wire.Spec) bool {
	return (b.Spot || !a.Spot) && (b.Zone == "" || a.Zone == b.Zone) && (len(b.Types) == 0 || slices.Equal(a.Types, b.Types))
}

// spare tells the pool what is left, and which machines nothing uses.
func (s *stock) spare(d *Demand) {
	for _, list := range [][]*node{s.ready, s.coming} {
		for _, n := range list {
			to := &d.Spare
			if n.m.Spot {
				to = &d.Spot
			}
			to.Room += share(n.free, n.capacity)
			if n.free == n.capacity && n.kept == "" && len(n.m.Bound) == 0 {
				to.Whole++
				d.Idle = append(d.Idle, n.m.Name)
			}
		}
	}
}

// share is the scarcest part of a machine that is free.
func share(free, capacity world.Amount) float64 {
	s := 1.0
	for _, d := range [][2]float64{{free.CPUs, capacity.CPUs}, {free.GPUs, capacity.GPUs}, {free.Mem, capacity.Mem}} {
		if d[1] > 0 {
			s = min(s, d[0]/d[1])
		}
	}
	return max(s, 0)
}

// fits is how many times need goes into free.
func fits(need, free world.Amount) int {
	c := math.MaxInt32
	for _, d := range [][2]float64{{need.CPUs, free.CPUs}, {need.GPUs, free.GPUs}, {need.Mem, free.Mem}} {
		if d[0] > 0 {
			c = min(c, int((d[1]+1e-6)/d[0]))
		}
	}
	return max(c, 0)
}
