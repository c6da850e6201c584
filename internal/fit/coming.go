package fit

import (
	"slices"

	"sableusher/internal/world"
)

// bin is machines coming up that are alike: of one type, zone and kind, with as much free.
// Hundreds that boot at once are a few bins, however many jobs are held against them.
type bin struct {
	like  *Node // any of them
	free  world.Amount
	nodes []*Node
}

// Gather puts the machines that are coming up into bins.
func (s *Stock) Gather() {
	type alike struct {
		typ, zone string
		spot      bool
		free      world.Amount
	}
	s.bins = s.bins[:0]
	found := map[alike]*bin{}
	for _, n := range s.coming {
		if !s.least.Within(n.Free) {
			continue
		}
		k := alike{n.M.Type, n.M.Zone, n.M.Spot, n.Free}
		b := found[k]
		if b == nil {
			b = &bin{like: n, free: n.Free}
			found[k] = b
			s.bins = append(s.bins, b)
		}
		b.nodes = append(b.nodes, n)
	}
}

// Expect sets room on machines coming up aside for a job's tasks that found none on
// those that are up: cheap ones first, then those in use.
func (s *Stock) Expect(a *Ask, z *Zones) {
	for tier := range 4 {
		for i := 0; i < len(s.bins) && a.Left > 0; i++ { // grows as bins are divided
			b := s.bins[i]
			if bit(!b.like.M.Spot, 2)|bit(b.free == b.like.Capacity, 1) != tier || !Allowed(a.Spec, b.like.M) {
				continue
			}
			each := Times(a.Need, b.free)
			for each > 0 && len(b.nodes) > 0 && a.Left > 0 && z.Open(b.like.M.Zone) {
				zone := b.like.M.Zone
				tasks := min(a.Left, z.Limit-z.Count[zone])
				// As many machines as are filled, or one in part.
				count := min(max(tasks/each, 1), len(b.nodes))
				put := min(each, tasks)
				taken := b.nodes[:count]
				b.nodes = b.nodes[count:]
				for _, n := range taken {
					s.Take(n, a.Need, float64(put))
				}
				a.Left -= count * put
				z.add(a.Spec, zone, count*put)
				if rest := taken[0].Free; s.least.Within(rest) {
					s.bins = append(s.bins, &bin{like: taken[0], free: rest, nodes: taken})
				}
			}
		}
		s.bins = slices.DeleteFunc(s.bins, func(b *bin) bool { return len(b.nodes) == 0 })
	}
}
