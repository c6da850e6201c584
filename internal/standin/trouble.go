package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// This file holds the troubles that are more than one switch: what users do all at once, what the
// network keeps for a moment that is to come, and what waits for a change of an owner.

// keptReport is a report that the network delivers again to a new leader.
type keptReport struct {
	body []byte
	at   time.Time
}

// Mute lets a machine reach no node until a time, while direct commands reach it.
func (r *Region) Mute(name string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.workers[name]; w != nil {
		w.muteUntil = until
	}
}

// Fast lets machines that are rented until a time be up within two seconds.
func (r *Region) Fast(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fast = until
}

// keep keeps a copy of a share of the reports for the next leader. Callers hold the lock.
func (r *Region) keep(from string, body []byte) {
	if r.kept.hit() {
		r.keeping[from] = keptReport{body, time.Now()}
	}
}

// ForNext keeps copies of a share of the reports until a time, and delivers them to every node at the moment
// at which another process leads.
func (r *Region) ForNext(ctx context.Context, share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	r.kept = odds{share, until, rand.New(rand.NewPCG(seed, 55))}
	r.mu.Unlock()
	r.wg.Go(func() {
		r.onChange(ctx, 20*time.Millisecond, until, r.leader, func() {
			r.mu.Lock()
			copies := r.keeping
			r.keeping = map[string]keptReport{}
			first := 0
			for name, c := range copies {
				// Nothing came from its worker since: the copy is the first that the new owners hear of it.
				if w := r.workers[name]; w != nil && w.lastReport.Equal(c.at) {
					first++
				}
			}
			r.Copies += len(copies) * len(r.nodes)
			r.mu.Unlock()
			r.Oracle.Meets("copies before a live report", first)
			for from, c := range copies {
				for _, n := range r.nodes {
					r.wg.Go(func() { r.deliver(ctx, from, n.Address, c.body) })
				}
			}
		})
	})
}

// onChange calls do whenever a token that is read so often has risen, from its first value on, until a time.
func (r *Region) onChange(ctx context.Context, every time.Duration, until time.Time, read func() uint64, do func()) {
	before := read()
	for ctx.Err() == nil && time.Now().Before(until) {
		time.Sleep(every)
		now := read()
		if before != 0 && now != before {
			do()
		}
		before = now
	}
}

// leader gives the leader's token.
func (r *Region) leader() uint64 { return r.owner(world.Leader).Token }

// owner gives the record of a part's owner.
func (r *Region) owner(part int) world.PartRecord {
	var p world.PartRecord
	_ = wire.Decode(r.State.Row(world.PartKey(part)).Value, &p)
	return p
}

// rooms gives what is free on the machines that can be reached. Callers hold the lock.
func (r *Region) rooms() []Room {
	var out []Room
	for _, w := range r.workers {
		if w.hung() || w.deaf() || w.mute() || !w.recall.IsZero() {
			continue
		}
		free := world.Capacity(&w.typ)
		for _, t := range w.tasks {
			if t.State != wire.TaskExited {
				free = free.Plus(world.Need(&t.spec), -1)
			}
		}
		out = append(out, Room{w.place(), free})
	}
	return out
}

// CancelAtEnd lets a share of the jobs that end be called off at that moment, until a time.
func (r *Region) CancelAtEnd(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.atEnd = odds{share, until, rand.New(rand.NewPCG(seed, 56))}
}

// ended calls a job off if it has just completed and the odds say so. Callers hold the lock.
func (r *Region) ended(id string) {
	if !r.Oracle.Complete(id) || !r.atEnd.hit() {
		return
	}
	r.Oracle.Meets("called off at its end", 1)
	d := r.atEnd.between(0, 1500*time.Millisecond)
	r.wg.Go(func() {
		time.Sleep(d)
		r.CallOff(r.ctx, id)
	})
}

// CallOff asks for a job to be cancelled until its user is told an end, for some minutes at most.
func (r *Region) CallOff(ctx context.Context, id string) {
	for range 180 {
		if ctx.Err() != nil || r.Abort(ctx, id) {
			return
		}
		time.Sleep(time.Second)
	}
}

// CancelNow lets users call off so many running jobs within a fifth of a second; up to eight of their
// machines hang for some time, or are cut off from everything.
func (r *Region) CancelNow(ctx context.Context, n int, hang, cut time.Duration, rnd *rand.Rand) {
	ids := r.Oracle.Running()
	rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:min(n, len(ids))]
	left := 8
	for _, id := range ids {
		for _, m := range r.Oracle.Machines(id) {
			if left == 0 || hang+cut == 0 {
				break
			}
			left--
			if hang > 0 {
				r.Hang(m, hang)
			} else {
				r.Net.Cut(Cut{From: m, To: "*", Hold: rnd.IntN(2) == 0, Until: time.Now().Add(cut)})
			}
		}
		d := time.Duration(rnd.IntN(200)) * time.Millisecond
		r.wg.Go(func() {
			time.Sleep(d)
			r.CallOff(ctx, id)
		})
	}
	r.Oracle.Meets("called off while running", len(ids))
}

// CancelAsHandsChange lets users call off some running jobs whenever a part has just changed its owner, until
// a time.
func (r *Region) CancelAsHandsChange(ctx context.Context, n int, until time.Time, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 57))
	r.wg.Go(func() {
		r.onChange(ctx, 50*time.Millisecond, until, r.tokens, func() {
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			r.CancelNow(ctx, n, 0, 0, rnd)
			r.Oracle.Meets("called off as a part changes hands", 1)
		})
	})
}

// tokens adds the parts' tokens up: it rises with each of them.
func (r *Region) tokens() (sum uint64) {
	for p := range r.Set.Deployment.Size {
		sum += r.owner(p).Token
	}
	return sum
}

// CloseLooks lets users ask at all nodes within milliseconds right after an answer, until a time.
func (r *Region) CloseLooks(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looks = until
}

// look asks at every node about a job, twice within milliseconds, and repeats its submission.
func (r *Region) look(ctx context.Context, id string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !time.Now().Before(r.looks) {
		return
	}
	r.Oracle.Meets("close looks", 1)
	for _, n := range r.nodes {
		for i := range 3 {
			d := time.Duration(r.rnd.IntN(40)) * time.Millisecond
			method, path, timeout, with := http.MethodGet, "/v1/jobs/"+id, 2*time.Second, []byte(nil)
			if i == 2 {
				method, path, timeout, with = http.MethodPost, "/v1/jobs", 5*time.Second, body
			}
			r.wg.Go(func() {
				time.Sleep(d)
				if status, _ := r.ask(ctx, n, id, method, path, with, timeout); status == http.StatusOK {
					r.Oracle.Meets("close looks answered", 1)
				}
			})
		}
	}
}

// OddRequests lets users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that
// fit no machine, name nobody's team, need more than their team may have or lack a field, until a time.
func (r *Region) OddRequests(ctx context.Context, until time.Time, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 58))
	pick := func(ids []string) string {
		if len(ids) == 0 {
			return ""
		}
		return ids[rnd.IntN(len(ids))]
	}
	send := func(id string, method, path string, body []byte) int {
		status, _ := r.ask(ctx, r.any(), id, method, path, body, 5*time.Second)
		return status
	}
	r.wg.Go(func() {
		for n := 0; ctx.Err() == nil && time.Now().Before(until); n++ {
			time.Sleep(time.Duration(200+rnd.IntN(800)) * time.Millisecond)
			if id := pick(r.Oracle.Open()); id != "" && rnd.IntN(3) == 0 {
				spec, _ := r.Oracle.Spec(id)
				send(id, http.MethodPost, "/v1/jobs", wire.MustEncode(spec))
				continue
			}
			if id := pick(r.Oracle.Over()); id != "" && rnd.IntN(2) == 0 {
				send(id, http.MethodPost, "/v1/jobs/"+id+"/abort", nil)
				r.Oracle.Meets("called off after its end", 1)
				continue
			}
			s := wire.Spec{ID: fmt.Sprintf("run-%06d", 700000+n), Class: "c", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal,
				Tasks: 1 + rnd.IntN(4), CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img-0", ImageGB: 2, EstimateS: 15}
			var fields map[string]any
			_ = wire.Decode(wire.MustEncode(s), &fields)
			why, want := "", http.StatusUnprocessableEntity
			switch rnd.IntN(5) {
			case 0:
				why, fields["vcpus"] = "it fits no machine", 1000.0
			case 1:
				why, fields["crew"] = "its team is unknown", "nobody"
			case 2:
				why, fields["harbor"] = "it fits no machine in its zone", "nowhere"
			case 3:
				why, fields["crew"], fields["rig"], fields["hauls"], fields["cards"] = "it needs more than its team may have", "bound", wire.KindGang, 1000, 1.0
			case 4:
				lacks := []string{"lot", "crew", "rig", "precedence", "hauls", "vcpus", "cards", "memory_gb", "tackle", "size_gb", "same_place", "spread", "standby", "reckon_s", "landfall_s", "stow_s"}
				why, want = "it lacks "+lacks[rnd.IntN(len(lacks))], http.StatusBadRequest
				delete(fields, why[len("it lacks "):])
			}
			r.Oracle.Impossible(s, why)
			if status := send(s.ID, http.MethodPost, "/v1/jobs", wire.MustEncode(fields)); status == want {
				r.Oracle.Meets("odd requests refused", 1)
			} else if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
				r.Oracle.Note(fmt.Sprintf("answer: %d where %s", status, why))
			}
			send(s.ID, http.MethodGet, "/v1/jobs/"+s.ID, nil) // 404 or 503, never 200
		}
	})
}

// ShortJobs lets jobs of one task come four a second until a time, a quarter of which are cancelled.
func (r *Region) ShortJobs(ctx context.Context, first int, until time.Time, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 59))
	r.wg.Go(func() {
		for n := first; ctx.Err() == nil && time.Now().Before(until); n++ {
			time.Sleep(time.Duration(150+rnd.IntN(200)) * time.Millisecond)
			s := wire.Spec{ID: fmt.Sprintf("run-%06d", n), Class: "short", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1,
				CPUs: 2, MemoryGB: 8, Image: "img-0", ImageGB: 2, EstimateS: 6, Spot: true}
			var stop time.Duration
			if rnd.IntN(4) == 0 {
				stop = time.Duration(1+rnd.IntN(12)) * time.Second
			}
			run := float64(2 + rnd.IntN(8))
			r.Oracle.Meets("short jobs", 1)
			r.wg.Go(func() { r.User(ctx, s, run, stop) })
		}
	})
}
