package federation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMember drives a member through drawn hours of silence, new epochs, drains, lists and an
// operator's word. Work is offered only to what is heard, named, settled under its newest epoch
// and not forgotten; what stays silent is lost in a bounded time, what is heard and settled
// joins in one; and what goes and comes is not offered work each time.
func TestMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Member{Name: "b"}
		h := Observation{Configured: true, Epoch: 1}
		now, silent, fenced := start, true, uint64(0)
		quiet, well, turns := time.Duration(0), time.Duration(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "spells") {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2:
				silent = !silent
			case 3:
				h.Epoch++
				h.InventoryExchanged = false
			case 4:
				h.Draining = !h.Draining
			case 5:
				h.Configured = rapid.IntRange(0, 3).Draw(t, "named") > 0
			case 6:
				if f, err := m.Forget(m.Epoch, now); err == nil {
					m, fenced = f, m.Epoch
				} else if m.Standing == StandingLost {
					t.Fatalf("can't be forgotten: %v", err)
				}
			case 7:
				h.InventoryExchanged = true
			}
			for range rapid.IntRange(1, 90).Draw(t, "seconds") {
				now = now.Add(time.Second)
				if !silent {
					h.LastHeard = now
				}
				was := m
				m = m.Step(now, h)
				if m.AcceptsOffers() != was.AcceptsOffers() {
					turns++
				}
				quiet, well = quiet+time.Second, well+time.Second
				if !silent || !h.Configured {
					quiet = 0
				}
				if silent || !h.Configured || !h.InventoryExchanged || h.Draining || h.Epoch <= fenced {
					well = 0
				}
				if m.AcceptsOffers() && (now.Sub(h.LastHeard) >= tuning.CellDoubt || !h.Configured || m.Epoch <= fenced || !m.InventoryExchanged || m.Epoch != h.Epoch) {
					t.Fatalf("work is offered to %+v, of which is known %+v", m, h)
				}
				if quiet > tuning.CellLost+2*time.Second && m.Standing != StandingLost && m.Standing != StandingUnknown && m.Standing != StandingRemoved {
					t.Fatalf("silent for %v and %v", quiet, m.Standing)
				}
				if well > tuning.CellProbation<<tuning.ProbationReturns+2*time.Second && !m.AcceptsOffers() {
					t.Fatalf("well for %v and %v, waits for %s", well, m.Standing, m.WaitReason(now))
				}
				if (m.WaitReason(now) == "") != m.AcceptsOffers() {
					t.Fatalf("%v waits for %q", m.Standing, m.WaitReason(now))
				}
			}
		}
		if most := 2 + 2*int(now.Sub(start)/tuning.CellProbation); turns > most {
			t.Fatalf("%d turns in %v", turns, now.Sub(start))
		}
	})
}

// host is a cell of a simulation: slots that take a task each, and what waits.
type host struct {
	slots, busy int
	queue       []int // arrival second of each waiting task
	ends        map[int]int
}

func (h *host) step(now, run int, waited *[]int) {
	h.busy -= h.ends[now]
	delete(h.ends, now)
	for len(h.queue) > 0 && h.busy < h.slots {
		*waited = append(*waited, now-h.queue[0])
		h.queue = h.queue[1:]
		h.busy++
		h.ends[now+run]++
	}
}

func (h *host) digest(at time.Time, run int) Digest {
	wait := 0.0
	if free := h.slots - h.busy; free <= 0 {
		wait = float64(run) * (0.5 + float64(len(h.queue))/float64(h.slots))
	}
	return Digest{ReceivedAt: at, FreeCapacities: []FreeCapacity{{Free: record.Resources{GPUs: 1}, Count: max(h.slots-h.busy, 0)}}, WaitSecondsByRank: []float64{wait, wait, wait}, RemainingTasks: 1 << 20}
}

// play lets tasks arrive in three cells for some minutes, of which the first has four times its
// share for two of them, and gives the sorted waits. choose picks a cell for what arrives.
func play(choose func(from int, now time.Time, told []Digest, flight []int, real []*host) int) (mean float64, moved int) {
	const run, slots = 30, 100
	rnd := rand.New(rand.NewPCG(4, 9))
	cells := []*host{}
	for range 3 {
		cells = append(cells, &host{slots: slots, ends: map[int]int{}})
	}
	told, flight := make([]Digest, 3), make([]int, 3)
	var waited []int
	for now := range 600 {
		at := start.Add(time.Duration(now) * time.Second)
		if now%3 == 0 { // digests are 3 s apart; what was on its way is in the new ones
			for i, h := range cells {
				told[i] = h.digest(at, run)
				flight[i] = 0
			}
		}
		for i := range cells {
			rate := 0.6 * slots / run
			if i == 0 && now >= 120 && now < 240 {
				rate *= 4
			}
			n := int(rate)
			if rnd.Float64() < rate-float64(n) {
				n++
			}
			for range n {
				to := choose(i, at, told, flight, cells)
				if to != i {
					moved++
					flight[to]++
				}
				cells[to].queue = append(cells[to].queue, now)
			}
		}
		for _, h := range cells {
			h.step(now, run, &waited)
		}
	}
	sum := 0
	for _, w := range waited {
		sum += w
	}
	return float64(sum) / float64(len(waited)), moved
}

// byDigest is the choice as it is made, on digests of up to three seconds.
func byDigest(from int, now time.Time, told []Digest, flight []int, real []*host) int {
	here := real[from].digest(now, 30)
	w := &OffloadCandidate{JobID: "run-1", TaskResources: record.Resources{GPUs: 1}, TaskCount: 1, LocalWaitSeconds: here.WaitSecondsByRank[0]}
	var list []TargetCell
	for i := range told {
		if i != from {
			list = append(list, TargetCell{Name: fmt.Sprint(i), Digest: told[i], TransferSeconds: 1, TasksInFlight: flight[i]})
		}
	}
	to, ok := ChooseCell(now, w, list, rand.New(rand.NewPCG(uint64(now.Unix()), uint64(flight[0]+flight[1]+flight[2]))))
	if !ok {
		return from
	}
	return int(to[0] - '0')
}

// TestSpillServesABurst: with the choice a burst of four times in one of three cells waits a fraction
// of what it does without, nearly as little as by an all-knowing choice and less than at random;
// and where all cells stand alike nothing moves.
func TestSpillServesABurst(t *testing.T) {
	off, _ := play(func(from int, _ time.Time, _ []Digest, _ []int, _ []*host) int { return from })
	on, moved := play(byDigest)
	rnd := rand.New(rand.NewPCG(1, 1))
	random, scattered := play(func(int, time.Time, []Digest, []int, []*host) int { return rnd.IntN(3) })
	best, _ := play(func(from int, _ time.Time, _ []Digest, _ []int, real []*host) int {
		to := from
		for i, h := range real {
			if len(h.queue)+h.busy < len(real[to].queue)+real[to].busy {
				to = i
			}
		}
		return to
	})
	t.Logf("mean wait in s: %.1f off, %.1f by digest, %.1f at random, %.1f all-knowing; moved %d, %d at random", off, on, random, best, moved, scattered)
	if on > 0.5*off || on > 1.5*best || moved > scattered/2 {
		t.Errorf("mean wait %.1f by digest, %.1f off, %.1f all-knowing; %d moved, %d at random", on, off, best, moved, scattered)
	}
}

// TestChoose holds a choice to its bounds: guests stay, nothing goes to a cell without a fresh word
// or beyond the guests it takes, nothing without room where nobody says how long it waits, and
// nothing that would not gain by the margin.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []TargetCell
		for i := range rapid.IntRange(0, 4).Draw(t, "cells") {
			d := Digest{ReceivedAt: start.Add(-time.Duration(rapid.IntRange(0, 12).Draw(t, "age")) * time.Second), FetchSecondsPerGB: 1, BootSeconds: 20, RemainingTasks: rapid.IntRange(0, 60).Draw(t, "guests")}
			for range rapid.IntRange(0, 4).Draw(t, "rooms") {
				d.FreeCapacities = append(d.FreeCapacities, FreeCapacity{Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"),
					Free: record.Resources{CPUs: 32, GPUs: float64(rapid.IntRange(0, 4).Draw(t, "free"))}, Count: rapid.IntRange(1, 20).Draw(t, "count")})
			}
			if w := rapid.IntRange(-1, 100).Draw(t, "wait"); w >= 0 {
				d.WaitSecondsByRank = []float64{float64(w), float64(w), float64(w)}
			}
			list = append(list, TargetCell{Name: fmt.Sprint(i), Digest: d, TransferSeconds: rapid.Float64Range(0, 5).Draw(t, "transfer"), TasksInFlight: rapid.IntRange(0, 30).Draw(t, "flight")})
		}
		w := &OffloadCandidate{JobID: "run-1", TaskResources: record.Resources{CPUs: 4, GPUs: 1}, TaskCount: rapid.IntRange(1, 30).Draw(t, "tasks"),
			SameZone: rapid.Bool().Draw(t, "one zone"), AllowSpot: rapid.Bool().Draw(t, "may spot"), PriorityRank: 1, ImageSizeGB: 4, LocalWaitSeconds: rapid.Float64Range(0, 200).Draw(t, "here"),
			OffloadedHere: rapid.IntRange(0, 5).Draw(t, "guest") == 0}
		to, ok := ChooseCell(start, w, list, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		if !ok {
			return
		}
		c := list[to[0]-'0']
		zones := map[string]int{}
		for _, r := range c.Digest.FreeCapacities {
			if w.AllowSpot || !r.Spot {
				zones[r.Zone] += r.Count * int(r.Free.GPUs)
			}
		}
		room := zones["x"] + zones["y"]
		if w.SameZone {
			room = max(zones["x"], zones["y"])
		}
		wait := 0.0
		if room-c.TasksInFlight < w.TaskCount {
			if len(c.Digest.WaitSecondsByRank) == 0 {
				t.Fatalf("%d tasks go where %d have room, %d on their way", w.TaskCount, room, c.TasksInFlight)
			}
			wait = c.Digest.WaitSecondsByRank[1] + c.Digest.BootSeconds
		}
		switch {
		case w.OffloadedHere:
			t.Fatal("a guest goes on")
		case start.Sub(c.Digest.ReceivedAt) > tuning.DigestLife:
			t.Fatalf("chosen by a word of %v ago", start.Sub(c.Digest.ReceivedAt))
		case c.TasksInFlight+w.TaskCount > c.Digest.RemainingTasks:
			t.Fatalf("%d guests where %d are taken", c.TasksInFlight+w.TaskCount, c.Digest.RemainingTasks)
		case c.TransferSeconds+4+wait+tuning.SpillLeast.Seconds() > w.LocalWaitSeconds:
			t.Fatalf("goes for %.1f s, here it waits %.1f s", c.TransferSeconds+4+wait, w.LocalWaitSeconds)
		}
	})
}
