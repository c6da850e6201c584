package binpack

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// MachineInfo is a machine as a round sees it.
type MachineInfo struct {
	Machine     *clusterstate.Machine
	Capacity    record.Resources
	Free        record.Resources // as this round leaves it
	Owned       bool             // in a part of the caller's own
	ReservedFor string           // the job that its free room is kept for, if any

	recordedFree record.Resources // as the records have it
	readiness    Readiness
	modified     bool          // by this round: free or kept differ from what the records say
	boundImages  bitset.BitSet // those of tasks bound there
	hintedImages bitset.BitSet // those that it is believed to hold besides
}

// SessionKnown tells whether a machine's worker and its session are known.
func (n *MachineInfo) SessionKnown() bool { return n.Owned || n.Machine.Up }

// Readiness is what a machine is good for.
type Readiness int

const (
	Unavailable Readiness = iota // drained, given up, overdue or cut off
	Ready                        // up and fit for tasks, as far as the caller knows
	Pending                      // coming up, or not usable just now
)

// Snapshot is what a stock is brought up to date from.
type Snapshot struct {
	Now           time.Time
	State         *clusterstate.State
	LiveShards    []bool         // parts whose owner lives
	FencingTokens map[int]uint64 // of the caller's own parts
	// AssessReadiness says what a machine of a known type, neither given up nor drained, is good for.
	AssessReadiness func(m *clusterstate.Machine, mine bool) Readiness
}

// Inventory is the room of a round. It is kept from round to round: a round takes in
// the machines of which something changed, and gives back what the one before it
// used in its play. What depends on time alone is looked at anew at each sweep.
//
// Within a round the machines are looked at once, and once more for each kind of need
// that may still find room: a shape that found none is remembered, so that a long queue
// behind a full fleet costs little. Machines that have become too full for anything that
// waits are passed over from then on.
type Inventory struct {
	// NeedPerGPU is what GPU work takes beside each GPU, of cores and GB.
	NeedPerGPU record.Resources
	// CommonNeed is what a task of the work that asks for most cores takes, where that has no GPUs.
	CommonNeed record.Resources

	snapshot        Snapshot
	builtAt         time.Time
	machines        map[string]*MachineInfo
	byShard         [][]*MachineInfo // by name
	capacityByType  map[string]record.Resources
	fetchRateByType map[string]float64 // GB a second that types fetch images at
	typesDiffer     bool               // types differ in cores or in that
	// maxFetchRate is the highest of those rates.
	maxFetchRate float64
	modified     []*MachineInfo // used by the round before

	ready           []*MachineInfo   // by part and name
	readyOffsets    []int            // where each part begins among them, and the end
	feasibleByShard [][]*MachineInfo // those of them, by part, with room for the least that waits
	pending         []*MachineInfo

	imageIDs       map[string]uint             // of images, in the nodes' sets
	hintsUpdatedAt map[bool]time.Time          // when own machines' images and the others' were told
	imageHolders   map[string][][]*MachineInfo // machines with room that hold an image, by part, as asked for in this round
	fittingBuffer  []*MachineInfo              // the list that Fitting gave last
	pendingBins    []*pendingBin               // machines coming up

	minNeed        record.Resources
	failedRequests FailedRequests
	examined       int
}

// Refresh brings a stock up to date for a round, with the machines of which something
// changed; nil makes a new one.
func Refresh(s *Inventory, v Snapshot, changed ...map[string]struct{}) *Inventory {
	if s == nil || v.Now.Sub(s.builtAt) >= tuning.SweepEvery || !slices.Equal(s.snapshot.LiveShards, v.LiveShards) || !maps.Equal(s.snapshot.FencingTokens, v.FencingTokens) {
		s = newInventory(v)
	} else {
		s.snapshot = v
		for _, info := range s.modified {
			info.Free, info.ReservedFor, info.modified = info.recordedFree, "", false
		}
		s.modified = s.modified[:0]
		lists := false
		for _, set := range changed {
			for name := range set {
				lists = s.refreshMachine(name) || lists
			}
		}
		if lists {
			s.rebuildLists()
		}
	}
	s.imageHolders, s.failedRequests, s.examined = map[string][][]*MachineInfo{}, nil, 0
	return s
}

func newInventory(v Snapshot) *Inventory {
	w := v.State
	s := &Inventory{snapshot: v, builtAt: v.Now, machines: make(map[string]*MachineInfo, len(w.Machines)), byShard: make([][]*MachineInfo, w.ShardCount),
		capacityByType: map[string]record.Resources{}, imageIDs: map[string]uint{}, hintsUpdatedAt: map[bool]time.Time{}, feasibleByShard: make([][]*MachineInfo, w.ShardCount)}
	s.fetchRateByType = map[string]float64{}
	var first wire.MachineType
	for name, t := range w.Types {
		s.capacityByType[name], s.fetchRateByType[name] = record.Capacity(&t), t.ImageFetchGBps
		s.maxFetchRate = max(s.maxFetchRate, t.ImageFetchGBps)
		if first.Name == "" {
			first = t
		}
		s.typesDiffer = s.typesDiffer || t.ImageFetchGBps != first.ImageFetchGBps || t.CPUs != first.CPUs
	}
	for part, list := range w.MachinesByShard {
		nodes := make([]MachineInfo, len(list))
		for i, m := range list {
			n := &nodes[i]
			n.Machine = m
			s.machines[m.Name] = n
			s.byShard[part] = append(s.byShard[part], n)
			s.evaluate(n)
		}
	}
	s.rebuildLists()
	return s
}

// evaluate finds what one machine has free and is good for.
func (inv *Inventory) evaluate(info *MachineInfo) {
	m := info.Machine
	_, info.Owned = inv.snapshot.FencingTokens[m.Shard]
	capacity, ok := inv.capacityByType[m.Type]
	info.Capacity, info.recordedFree = capacity, capacity.AddTimes(m.Used, -1)
	info.Free, info.ReservedFor, info.modified = info.recordedFree, "", false
	info.boundImages.ClearAll()
	for image := range m.TasksByImage {
		info.boundImages.Set(inv.imageID(image))
	}
	info.readiness = Unavailable
	if !m.Deleting && !m.Draining && ok {
		info.readiness = inv.snapshot.AssessReadiness(m, info.Owned)
	}
}

// refreshMachine looks at a machine of which something changed, and tells whether the lists
// change with it.
func (inv *Inventory) refreshMachine(name string) bool {
	m, n := inv.snapshot.State.Machines[name], inv.machines[name]
	if n != nil && n.Machine == m {
		before := n.readiness
		inv.evaluate(n)
		return n.readiness != before
	}
	if n != nil {
		delete(inv.machines, name)
		part := n.Machine.Shard
		if i, ok := slices.BinarySearchFunc(inv.byShard[part], name, compareName); ok {
			inv.byShard[part] = slices.Delete(inv.byShard[part], i, i+1)
		}
	}
	if m != nil {
		n := &MachineInfo{Machine: m}
		inv.machines[name] = n
		i, _ := slices.BinarySearchFunc(inv.byShard[m.Shard], name, compareName)
		inv.byShard[m.Shard] = slices.Insert(inv.byShard[m.Shard], i, n)
		inv.evaluate(n)
	}
	return true
}

func compareName(info *MachineInfo, name string) int { return cmp.Compare(info.Machine.Name, name) }

// rebuildLists lists the machines by what they are good for.
func (inv *Inventory) rebuildLists() {
	inv.ready, inv.pending, inv.readyOffsets = inv.ready[:0], inv.pending[:0], inv.readyOffsets[:0]
	for _, part := range inv.byShard {
		inv.readyOffsets = append(inv.readyOffsets, len(inv.ready))
		for _, info := range part {
			switch info.readiness {
			case Ready:
				inv.ready = append(inv.ready, info)
			case Pending:
				inv.pending = append(inv.pending, info)
			}
		}
	}
	inv.readyOffsets = append(inv.readyOffsets, len(inv.ready))
}

// markModified notes that a round changes what a machine has free or whom it is kept for.
func (inv *Inventory) markModified(info *MachineInfo) {
	if !info.modified {
		info.modified = true
		inv.modified = append(inv.modified, info)
	}
}

// Consume takes room on a machine in this round's play; a negative count gives it back.
func (inv *Inventory) Consume(info *MachineInfo, need record.Resources, count float64) {
	inv.markModified(info)
	info.Free = info.Free.AddTimes(need, -count)
}

// ConsumeByName takes room that tasks on their way to a machine need, if the machine is known.
func (inv *Inventory) ConsumeByName(name string, amount record.Resources) {
	if n := inv.machines[name]; n != nil {
		inv.Consume(n, amount, 1)
	}
}

// ReserveFor keeps a machine's free room for a job in this round's play, if the machine is
// known; an empty job lets it go.
func (inv *Inventory) ReserveFor(name, job string) {
	if n := inv.machines[name]; n != nil {
		inv.markModified(n)
		n.ReservedFor = job
	}
}

// ReserveAll keeps a machine for a job and takes all that it has free: what is being stopped
// there makes the room.
func (inv *Inventory) ReserveAll(info *MachineInfo, job string) {
	inv.markModified(info)
	info.ReservedFor, info.Free = job, record.Resources{}
}

// ReadyMachines gives the machines of a part that are up, by name; the list is the stock's own.
func (inv *Inventory) ReadyMachines(part int) []*MachineInfo {
	return inv.ready[inv.readyOffsets[part]:inv.readyOffsets[part+1]]
}

// FeasibleMachines gives the machines of a part with room for the least that waits; the list is the
// stock's own.
func (inv *Inventory) FeasibleMachines(part int) []*MachineInfo { return inv.feasibleByShard[part] }

// Examined is how many machines the round has examined so far.
func (inv *Inventory) Examined() int { return inv.examined }

// HasFreeCapacity tells whether any machine that is up has room at all.
func (inv *Inventory) HasFreeCapacity() bool {
	return slices.ContainsFunc(inv.ready, func(n *MachineInfo) bool { return FreeFraction(n.Free, n.Capacity) > 0 })
}

// FilterFeasible puts aside the machines with too little room for the least that waits.
func (inv *Inventory) FilterFeasible(needs iter.Seq[record.Resources]) {
	first := true
	for need := range needs {
		if first {
			inv.minNeed, first = need, false
		}
		inv.minNeed = record.Resources{CPUs: min(inv.minNeed.CPUs, need.CPUs), GPUs: min(inv.minNeed.GPUs, need.GPUs), MemoryGB: min(inv.minNeed.MemoryGB, need.MemoryGB)}
	}
	if first {
		return // nothing waits
	}
	for p := range inv.feasibleByShard {
		inv.feasibleByShard[p] = inv.feasibleByShard[p][:0]
	}
	for _, info := range inv.ready {
		if inv.minNeed.FitsIn(info.Free) {
			inv.feasibleByShard[info.Machine.Shard] = append(inv.feasibleByShard[info.Machine.Shard], info)
		}
	}
}

// retainFeasible gives the machines of a list that still have room for the least that waits,
// in place: what has become full in this round is passed over from now on.
func (inv *Inventory) retainFeasible(list []*MachineInfo) []*MachineInfo {
	return slices.DeleteFunc(list, func(n *MachineInfo) bool { return !inv.minNeed.FitsIn(n.Free) })
}

// KnownInfeasible tells whether a need has found no room before in this round.
func (inv *Inventory) KnownInfeasible(request *Request) bool {
	return inv.failedRequests.Covers(request)
}

// RecordFailure remembers that a need has found no room.
func (inv *Inventory) RecordFailure(request *Request) { inv.failedRequests.Add(request) }

// FittingMachines gives the machines that are up with room for a task. The list is good until
// the next one is asked for.
func (inv *Inventory) FittingMachines(request *Request) []*MachineInfo {
	if inv.KnownInfeasible(request) {
		return nil
	}
	out := inv.fittingBuffer[:0]
	for _, list := range inv.feasibleByShard {
		inv.examined += len(list)
		for _, info := range list {
			if request.Need.FitsIn(info.Free) && Eligible(request.Spec, info.Machine) {
				out = append(out, info)
			}
		}
	}
	inv.fittingBuffer = out
	if len(out) == 0 {
		inv.RecordFailure(request)
	}
	return out
}

// FindShard counts, part by part from one on, how many tasks find room, and gives the
// first part with room for all that are left; with held, only where their image is
// believed to be. It stops there; any tells whether there is room for one at all.
func (inv *Inventory) FindShard(request *Request, held bool, first int) (part int, found, any bool) {
	lists := inv.feasibleByShard
	if held {
		lists = inv.imageHoldersByShard(request.Spec.Image)
	}
	for i := range lists {
		p, n := (first+i)%len(lists), 0
		lists[p] = inv.retainFeasible(lists[p])
		for _, m := range lists[p] {
			inv.examined++
			if request.Need.FitsIn(m.Free) && Eligible(request.Spec, m.Machine) {
				any = true
				if n += TasksThatFit(request.Need, m.Free); n >= request.Remaining {
					return p, true, true
				}
			}
		}
	}
	return first, false, any
}

// ShardFits tells whether a task has room on a machine of a part.
func (inv *Inventory) ShardFits(request *Request, part int) bool {
	return slices.ContainsFunc(inv.feasibleByShard[part], func(n *MachineInfo) bool { return request.Need.FitsIn(n.Free) && Eligible(request.Spec, n.Machine) })
}

// imageID is an image's number in the nodes' sets.
func (inv *Inventory) imageID(image string) uint {
	id, ok := inv.imageIDs[image]
	if !ok {
		id = uint(len(inv.imageIDs))
		inv.imageIDs[image] = id
	}
	return id
}

// HintsUpdatedAt is when Hints was last told of the caller's own machines, or of the others'.
func (inv *Inventory) HintsUpdatedAt(mine bool) time.Time { return inv.hintsUpdatedAt[mine] }

// SetImageHints takes in which images the caller's own machines, or the others', are believed to
// hold, as pairs of image and machine. A hint only chooses among machines with room.
func (inv *Inventory) SetImageHints(mine bool, at time.Time, each iter.Seq2[string, string]) {
	inv.hintsUpdatedAt[mine] = at
	for _, info := range inv.machines {
		if info.Owned == mine {
			info.hintedImages.ClearAll()
		}
	}
	for image, name := range each {
		if info := inv.machines[name]; info != nil && info.Owned == mine {
			info.hintedImages.Set(inv.imageID(image))
		}
	}
}

// HasImage tells whether a machine is believed to hold an image: a task of it is
// bound there, or has been, as its part's owner knows and tells the others.
func (inv *Inventory) HasImage(image string, info *MachineInfo) bool {
	id, ok := inv.imageIDs[image]
	return ok && (info.boundImages.Test(id) || info.hintedImages.Test(id))
}

// ImageHolders gives the machines of a part with room that hold an image, as found once a round.
func (inv *Inventory) ImageHolders(image string, part int) []*MachineInfo {
	return inv.imageHoldersByShard(image)[part]
}

func (inv *Inventory) imageHoldersByShard(image string) [][]*MachineInfo {
	list, ok := inv.imageHolders[image]
	if !ok {
		list = make([][]*MachineInfo, len(inv.feasibleByShard))
		for p, open := range inv.feasibleByShard {
			for _, info := range open {
				if inv.HasImage(image, info) {
					list[p] = append(list[p], info)
				}
			}
		}
		inv.imageHolders[image] = list
	}
	return list
}

// SpareCapacity is the room that is left once all that waits has been given its own.
type SpareCapacity struct {
	Machines       float64            // in machines
	UnusedMachines int                // machines that nothing uses
	MachinesByZone map[string]float64 // the room by zone
}

// Spare gives what is left, of ordinary and of spot machines, and the names of the
// machines, up or booting, that no task uses or waits for.
func (inv *Inventory) Spare() (onDemand, spot SpareCapacity, idle []string) {
	onDemand.MachinesByZone, spot.MachinesByZone = map[string]float64{}, map[string]float64{}
	for _, list := range [][]*MachineInfo{inv.ready, inv.pending} {
		for _, info := range list {
			to := &onDemand
			if info.Machine.Spot {
				to = &spot
			}
			room := FreeFraction(info.Free, info.Capacity)
			to.Machines += room
			to.MachinesByZone[info.Machine.Zone] += room
			if info.Free == info.Capacity && info.ReservedFor == "" && len(info.Machine.Bindings) == 0 {
				to.UnusedMachines++
				idle = append(idle, info.Machine.Name)
			}
		}
	}
	return onDemand, spot, idle
}

// Eligible tells whether a job may use a machine at all.
func Eligible(s *wire.JobSpec, m *clusterstate.Machine) bool {
	return (s.AllowSpot || !m.Spot) && (s.Zone == "" || s.Zone == m.Zone) && (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, m.Type))
}

// atLeastAsStrict tells whether a may use only machines that b may use as well.
func atLeastAsStrict(a, b *wire.JobSpec) bool {
	return (b.AllowSpot || !a.AllowSpot) && (b.Zone == "" || a.Zone == b.Zone) && (len(b.MachineTypes) == 0 || slices.Equal(a.MachineTypes, b.MachineTypes))
}

// FreeFraction is the scarcest part of a machine that is free, from 0 to 1.
func FreeFraction(free, capacity record.Resources) float64 {
	s := 1.0
	for _, d := range [][2]float64{{free.CPUs, capacity.CPUs}, {free.GPUs, capacity.GPUs}, {free.MemoryGB, capacity.MemoryGB}} {
		if d[1] > 0 {
			s = min(s, d[0]/d[1])
		}
	}
	return max(s, 0)
}

// TasksThatFit is how many times need goes into free.
func TasksThatFit(need, free record.Resources) int {
	c := math.MaxInt32
	for _, d := range [][2]float64{{need.CPUs, free.CPUs}, {need.GPUs, free.GPUs}, {need.MemoryGB, free.MemoryGB}} {
		if d[0] > 0 {
			c = min(c, int((d[1]+1e-6)/d[0]))
		}
	}
	return max(c, 0)
}
