package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

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
	free     world.Amount // as this round leaves it
	base     world.Amount // as the records have it
	mine     bool
	kept     string
	state    readiness
	used     bool          // by this round: free or kept differ from what the records say
	images   bitset.BitSet // those of tasks bound there
	cached   bitset.BitSet // those that it is believed to hold besides
}

// readiness is what a machine is good for.
type readiness int

const (
	absent readiness = iota // drained, given up, overdue or cut off
	ready                   // up and fit for tasks, as far as this node knows
	coming                  // coming up, or not usable just now
)

// stock is the room of a round. It is kept from round to round: a round takes in
// the machines of which something changed, and gives back what the one before it
// used in its play. What depends on time alone is looked at anew at each sweep.
//
// Within a round the machines are looked at once, and once more for each kind of need
// that may still find room: a shape that found none is remembered, so that a long queue
// behind a full fleet costs little. Machines that have become too full for anything that
// waits are passed over from then on.
type stock struct {
	built  time.Time
	nodes  map[string]*node
	byPart [][]*node // by name
	live   []bool
	tokens map[int]uint64
	caps   map[string]world.Amount
	moved  []*node // used by the round before

	ready  []*node   // by part and name
	open   [][]*node // those of them, by part, with room for the least that waits
	coming []*node

	ids     map[string]uint      // of images, in the nodes' sets
	hinted  [2]time.Time         // when this node's images and the others' were taken into them
	holding map[string][][]*node // machines with room that hold an image, by part, as asked for in this round
	scrap   []*node              // the list that fitting gave last
	bins    []*bin               // machines coming up

	least  world.Amount
	failed []failure
	looks  int // machines examined, for tests
}

// failure is a need for which there is no room on any machine it may use.
type failure struct {
	need world.Amount
	spec *wire.Spec
}

// newStock brings the stock up to date.
func (r *round) newStock() *stock {
	s := r.room
	names := r.news.Machines()
	if s == nil || r.now.Sub(s.built) >= tuning.SweepEvery || !slices.Equal(s.live, r.live) || !maps.Equal(s.tokens, r.tokens) {
		s = r.buildStock()
		r.room = s
	} else {
		for _, n := range s.moved {
			n.free, n.kept, n.used = n.base, "", false
		}
		s.moved = s.moved[:0]
		changed := false
		for _, set := range []map[string]struct{}{names, r.stale} {
			for name := range set {
				changed = r.renew(s, name) || changed
			}
		}
		if changed {
			s.list()
		}
	}
	clear(r.stale)
	for name, amount := range r.moveM {
		if n := s.nodes[name]; n != nil {
			s.use(n)
			n.free = n.free.Plus(amount, -1)
		}
	}
	for name, h := range r.held {
		if n := s.nodes[name]; n != nil && !r.now.After(h.until) {
			s.use(n)
			n.kept = h.ref.Job
		}
	}
	r.takeHints(s)
	s.holding, s.failed, s.looks = map[string][][]*node{}, nil, 0
	return s
}

// use notes that a round changes what a machine has free or whom it is kept for.
func (s *stock) use(n *node) {
	if !n.used {
		n.used = true
		s.moved = append(s.moved, n)
	}
}

// take takes room on a machine in this round's play; a negative count gives it back.
func (s *stock) take(n *node, need world.Amount, count float64) {
	s.use(n)
	n.free = n.free.Plus(need, -count)
}

func (r *round) buildStock() *stock {
	s := &stock{built: r.now, nodes: make(map[string]*node, len(r.world.Machines)), byPart: make([][]*node, r.world.Size),
		live: slices.Clone(r.live), tokens: maps.Clone(r.tokens), caps: map[string]world.Amount{}, ids: map[string]uint{}, open: make([][]*node, r.world.Size)}
	for name, t := range r.world.Types {
		s.caps[name] = world.Capacity(&t)
	}
	for part, list := range r.world.ByPart {
		nodes := make([]node, len(list))
		for i, m := range list {
			n := &nodes[i]
			n.m = m
			s.nodes[m.Name] = n
			s.byPart[part] = append(s.byPart[part], n)
			r.examine(s, n)
		}
	}
	s.list()
	return s
}

// examine finds what one machine has free and is good for.
func (r *round) examine(s *stock, n *node) {
	m := n.m
	_, n.mine = r.tokens[m.Part]
	capacity, ok := s.caps[m.Type]
	n.capacity, n.base = capacity, capacity.Plus(m.Used, -1)
	n.free, n.kept, n.used = n.base, "", false
	n.images.ClearAll()
	for image := range m.Images {
		n.images.Set(s.id(image))
	}
	switch {
	case m.Gone || m.Drain || !ok:
		n.state = absent
	case r.silence.Cut(m.Zone):
		n.state = absent // nothing starts there before the cut is over
	case n.mine && r.fleet.Look(m.Name, r.tokens[m.Part]).Usable, !n.mine && r.live[m.Part] && (m.Up || r.likely(m)):
		n.state = ready
	case !m.Up && r.overdue(m):
		n.state = absent // others are rented rather than waited for
	default:
		n.state = coming
	}
}

// renew looks at a machine of which something changed, and tells whether the lists
// change with it.
func (r *round) renew(s *stock, name string) bool {
	m, n := r.world.Machines[name], s.nodes[name]
	if n != nil && n.m == m {
		before := n.state
		r.examine(s, n)
		return n.state != before
	}
	if n != nil {
		delete(s.nodes, name)
		part := n.m.Part
		if i, ok := slices.BinarySearchFunc(s.byPart[part], name, byNodeName); ok {
			s.byPart[part] = slices.Delete(s.byPart[part], i, i+1)
		}
	}
	if m != nil {
		n := &node{m: m}
		s.nodes[name] = n
		i, _ := slices.BinarySearchFunc(s.byPart[m.Part], name, byNodeName)
		s.byPart[m.Part] = slices.Insert(s.byPart[m.Part], i, n)
		r.examine(s, n)
	}
	return true
}

func byNodeName(n *node, name string) int { return cmp.Compare(n.m.Name, name) }

// list lists the machines by what they are good for.
func (s *stock) list() {
	s.ready, s.coming = s.ready[:0], s.coming[:0]
	for _, part := range s.byPart {
		for _, n := range part {
			switch n.state {
			case ready:
				s.ready = append(s.ready, n)
			case coming:
				s.coming = append(s.coming, n)
			}
		}
	}
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

// hasRoom tells whether any machine that is up has room at all.
func (s *stock) hasRoom() bool {
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
	s.least = least
	for p := range s.open {
		s.open[p] = s.open[p][:0]
	}
	for _, n := range s.ready {
		if least.Within(n.free) {
			s.open[n.m.Part] = append(s.open[n.m.Part], n)
		}
	}
}

// roomy gives the machines of a list that still have room for the least that waits,
// in place: what has become full in this round is passed over from now on.
func (s *stock) roomy(list []*node) []*node {
	return slices.DeleteFunc(list, func(n *node) bool { return !s.least.Within(n.free) })
}

// without tells whether a need has found no room before in this round.
func (s *stock) without(du *due) bool {
	for _, f := range s.failed {
		if f.need.Within(du.need) && stricter(&du.job.Spec, f.spec) {
			return true
		}
	}
	return false
}

func (s *stock) fail(du *due) {
	if len(s.failed) < tuning.FailedShapes {
		s.failed = append(s.failed, failure{du.need, &du.job.Spec})
	}
}

// fitting gives the machines that are up with room for a task. The list is good until
// the next one is asked for.
func (s *stock) fitting(du *due) []*node {
	spec, need := &du.job.Spec, du.need
	if s.without(du) {
		return nil
	}
	out := s.scrap[:0]
	for _, list := range s.open {
		s.looks += len(list)
		for _, n := range list {
			if need.Within(n.free) && allowed(spec, n.m) {
				out = append(out, n)
			}
		}
	}
	s.scrap = out
	if len(out) == 0 {
		s.fail(du)
	}
	return out
}

// bin is machines coming up that are alike: of one type, zone and kind, with as much free.
// Hundreds that boot at once are a few bins, however many jobs are held against them.
type bin struct {
	like  *node // any of them
	free  world.Amount
	nodes []*node
}

// gather puts the machines that are coming up into bins, if anything waits for room.
func (s *stock) gather() {
	type alike struct {
		typ, zone string
		spot      bool
		free      world.Amount
	}
	s.bins = s.bins[:0]
	found := map[alike]*bin{}
	for _, n := range s.coming {
		if !s.least.Within(n.free) {
			continue
		}
		k := alike{n.m.Type, n.m.Zone, n.m.Spot, n.free}
		b := found[k]
		if b == nil {
			b = &bin{like: n, free: n.free}
			found[k] = b
			s.bins = append(s.bins, b)
		}
		b.nodes = append(b.nodes, n)
	}
}

// expect sets room on machines coming up aside for a job's tasks that found none on
// those that are up: cheap ones first, then those in use.
func (s *stock) expect(du *due, z *zones) {
	for tier := range 4 {
		for i := 0; i < len(s.bins) && du.left > 0; i++ { // grows as bins are divided
			b := s.bins[i]
			if bit(!b.like.m.Spot, 2)|bit(b.free == b.like.capacity, 1) != tier || !allowed(&du.job.Spec, b.like.m) {
				continue
			}
			each := fits(du.need, b.free)
			for each > 0 && len(b.nodes) > 0 && du.left > 0 && z.open(b.like.m.Zone) {
				zone := b.like.m.Zone
				tasks := min(du.left, z.limit-z.count[zone])
				// As many machines as are filled, or one in part.
				count := min(max(tasks/each, 1), len(b.nodes))
				put := min(each, tasks)
				taken := b.nodes[:count]
				b.nodes = b.nodes[count:]
				for _, n := range taken {
					s.take(n, du.need, float64(put))
				}
				du.left -= count * put
				z.count[zone] += count * put
				if du.job.Spec.OneZone {
					z.pin = zone
				}
				if rest := taken[0].free; s.least.Within(rest) {
					s.bins = append(s.bins, &bin{like: taken[0], free: rest, nodes: taken})
				}
			}
		}
		s.bins = slices.DeleteFunc(s.bins, func(b *bin) bool { return len(b.nodes) == 0 })
	}
}

// rooms counts, part by part from one on, how many tasks of a job find room on lists of
// machines by part, and gives the first part with room for all that are left. It
// stops there; any tells whether there is room for one at all.
func (s *stock) rooms(du *due, lists [][]*node, first int) (part int, found, any bool) {
	for i := range lists {
		p, n := (first+i)%len(lists), 0
		lists[p] = s.roomy(lists[p])
		for _, m := range lists[p] {
			s.looks++
			if du.need.Within(m.free) && allowed(&du.job.Spec, m.m) {
				any = true
				if n += fits(du.need, m.free); n >= du.left {
					return p, true, true
				}
			}
		}
	}
	return first, false, any
}

// takes tells whether a job's task has room on one of some machines.
func takes(du *due, list []*node) bool {
	return slices.ContainsFunc(list, func(n *node) bool { return du.need.Within(n.free) && allowed(&du.job.Spec, n.m) })
}

// id is an image's number in the nodes' sets.
func (s *stock) id(image string) uint {
	id, ok := s.ids[image]
	if !ok {
		id = uint(len(s.ids))
		s.ids[image] = id
	}
	return id
}

// takeHints takes in which images this node's and the others' workers are believed to
// hold, where either was told anew. A hint only chooses among machines with room.
func (r *round) takeHints(s *stock) {
	own, others := r.now.Sub(s.hinted[0]) >= tuning.HoldersLife, s.hinted[1] != r.hintsAt
	if !own && !others {
		return
	}
	for _, n := range s.nodes {
		if n.mine && own || !n.mine && others {
			n.cached.ClearAll()
		}
	}
	if own {
		s.hinted[0] = r.now
		for image, names := range r.fleet.Images() {
			id := s.id(image)
			for _, name := range names {
				if n := s.nodes[name]; n != nil && n.mine {
					n.cached.Set(id)
				}
			}
		}
	}
	if others {
		s.hinted[1] = r.hintsAt
		for image, names := range r.hints {
			id := s.id(image)
			for name := range names {
				if n := s.nodes[name]; n != nil && !n.mine {
					n.cached.Set(id)
				}
			}
		}
	}
}

// holds tells whether a machine is believed to hold an image: a task of it is
// bound there, or has been, as its part's owner knows and tells the others.
func (s *stock) holds(image string, n *node) bool {
	id, ok := s.ids[image]
	return ok && (n.images.Test(id) || n.cached.Test(id))
}

// holders gives the machines with room that hold an image, by part, as found once a round.
func (s *stock) holders(image string) [][]*node {
	list, ok := s.holding[image]
	if !ok {
		list = make([][]*node, len(s.open))
		for p, open := range s.open {
			for _, n := range open {
				if s.holds(image, n) {
					list[p] = append(list[p], n)
				}
			}
		}
		s.holding[image] = list
	}
	return list
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
