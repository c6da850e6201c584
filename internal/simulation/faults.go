package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// This file holds the troubles that are more than one switch: what users do all at once, what the
// network keeps for a moment that is to come, and what waits for a change of an owner.

// capturedHeartbeat is a report that the network delivers again to a new leader.
type capturedHeartbeat struct {
	body   []byte
	sentAt time.Time
}

// LoseOutbound lets a machine reach no node until a time, while direct commands reach it.
func (r *Region) LoseOutbound(name string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.agents[name]; w != nil {
		w.outboundLostUntil = until
	}
}

// BootFast lets machines that are rented until a time be up within two seconds.
func (r *Region) BootFast(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fastBootUntil = until
}

// captureHeartbeat keeps a copy of a share of the reports for the next leader. Callers hold the lock.
func (r *Region) captureHeartbeat(from string, body []byte) {
	if r.heartbeatCapture.occurs() {
		r.capturedHeartbeats[from] = capturedHeartbeat{body, time.Now()}
	}
}

// ReplayToNextLeader keeps copies of a share of the reports until a time, and delivers them to every node at the moment
// at which another process leads.
func (r *Region) ReplayToNextLeader(ctx context.Context, share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	r.heartbeatCapture = faultRate{share, until, rand.New(rand.NewPCG(seed, 55))}
	r.mu.Unlock()
	r.wg.Go(func() {
		r.onTokenIncrease(ctx, 20*time.Millisecond, until, r.leaderToken, func() {
			r.mu.Lock()
			copies := r.capturedHeartbeats
			r.capturedHeartbeats = map[string]capturedHeartbeat{}
			first := 0
			for name, c := range copies {
				// Nothing came from its worker since: the copy is the first that the new owners hear of it.
				if w := r.agents[name]; w != nil && w.lastHeartbeat.Equal(c.sentAt) {
					first++
				}
			}
			r.HeartbeatCopies += len(copies) * len(r.controllers)
			r.mu.Unlock()
			r.Checker.Observe("copies before a live report", first)
			for from, c := range copies {
				for _, n := range r.controllers {
					r.wg.Go(func() { r.redeliver(ctx, from, n.Address, c.body) })
				}
			}
		})
	})
}

// onTokenIncrease calls do whenever a token that is read so often has risen, from its first value on, until a time.
func (r *Region) onTokenIncrease(ctx context.Context, every time.Duration, until time.Time, read func() uint64, do func()) {
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

// leaderToken gives the leader's token.
func (r *Region) leaderToken() uint64 { return r.shardOwner(record.LeaderShard).FencingToken }

// shardOwner gives the record of a part's owner.
func (r *Region) shardOwner(part int) record.Shard {
	var p record.Shard
	_ = wire.Decode(r.KV.Row(record.ShardKey(part)).Value, &p)
	return p
}

// freeCapacities gives what is free on the machines that can be reached. Callers hold the lock.
func (r *Region) freeCapacities() []FreeCapacity {
	var out []FreeCapacity
	for _, w := range r.agents {
		if w.hung() || w.inboundLost() || w.outboundLost() || !w.reclaimAt.IsZero() {
			continue
		}
		free := record.Capacity(&w.machineType)
		for _, t := range w.tasks {
			if t.State != wire.TaskExited {
				free = free.Minus(record.TaskResources(&t.spec))
			}
		}
		out = append(out, FreeCapacity{w.placement(), free})
	}
	return out
}

// CancelAtCompletion lets a share of the jobs that end be called off at that moment, until a time.
func (r *Region) CancelAtCompletion(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelAtCompletion = faultRate{share, until, rand.New(rand.NewPCG(seed, 56))}
}

// taskCompleted calls a job off if it has just completed and the odds say so. Callers hold the lock.
func (r *Region) taskCompleted(id string) {
	if !r.Checker.JobCompleted(id) || !r.cancelAtCompletion.occurs() {
		return
	}
	r.Checker.Observe("called off at its end", 1)
	d := r.cancelAtCompletion.duration(0, 1500*time.Millisecond)
	r.wg.Go(func() {
		time.Sleep(d)
		r.CancelUntilFinal(r.ctx, id)
	})
}

// CancelUntilFinal asks for a job to be cancelled until its user is told an end, for some minutes at most.
func (r *Region) CancelUntilFinal(ctx context.Context, id string) {
	for range 180 {
		if ctx.Err() != nil || r.CancelJob(ctx, id) {
			return
		}
		time.Sleep(time.Second)
	}
}

// CancelRunningJobs lets users call off so many running jobs within a fifth of a second; up to eight of their
// machines hang for some time, or are cut off from everything.
func (r *Region) CancelRunningJobs(ctx context.Context, count int, hang, cut time.Duration, rnd *rand.Rand) {
	ids := r.Checker.RunningJobs()
	rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:min(count, len(ids))]
	machinesLeft := 8
	for _, id := range ids {
		for _, m := range r.Checker.MachinesOfJob(id) {
			if machinesLeft == 0 || hang+cut == 0 {
				break
			}
			machinesLeft--
			if hang > 0 {
				r.HangMachine(m, hang)
			} else {
				r.Network.AddPartition(Partition{From: m, To: "*", DeliverLate: rnd.IntN(2) == 0, Until: time.Now().Add(cut)})
			}
		}
		d := time.Duration(rnd.IntN(200)) * time.Millisecond
		r.wg.Go(func() {
			time.Sleep(d)
			r.CancelUntilFinal(ctx, id)
		})
	}
	r.Checker.Observe("called off while running", len(ids))
}

// CancelOnOwnerChange lets users call off some running jobs whenever a part has just changed its owner, until
// a time.
func (r *Region) CancelOnOwnerChange(ctx context.Context, count int, until time.Time, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 57))
	r.wg.Go(func() {
		r.onTokenIncrease(ctx, 50*time.Millisecond, until, r.shardTokenSum, func() {
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			r.CancelRunningJobs(ctx, count, 0, 0, rnd)
			r.Checker.Observe("called off as a part changes hands", 1)
		})
	})
}

// shardTokenSum adds the parts' tokens up: it rises with each of them.
func (r *Region) shardTokenSum() (sum uint64) {
	for p := range r.Settings.Deployment.Size {
		sum += r.shardOwner(p).FencingToken
	}
	return sum
}

// ProbeAfterAnswers lets users ask at all nodes within milliseconds right after an answer, until a time.
func (r *Region) ProbeAfterAnswers(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probesUntil = until
}

// probeAllControllers asks at every node about a job, twice within milliseconds, and repeats its submission.
func (r *Region) probeAllControllers(ctx context.Context, id string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !time.Now().Before(r.probesUntil) {
		return
	}
	r.Checker.Observe("close looks", 1)
	for _, n := range r.controllers {
		for i := range 3 {
			d := time.Duration(r.random.IntN(40)) * time.Millisecond
			method, path, timeout, with := http.MethodGet, "/v1/jobs/"+id, 2*time.Second, []byte(nil)
			if i == 2 {
				method, path, timeout, with = http.MethodPost, "/v1/jobs", 5*time.Second, body
			}
			r.wg.Go(func() {
				time.Sleep(d)
				if status, _ := r.query(ctx, n, id, method, path, with, timeout); status == http.StatusOK {
					r.Checker.Observe("close looks answered", 1)
				}
			})
		}
	}
}

// SendInvalidRequests lets users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that
// fit no machine, name nobody's team, need more than their team may have or lack a field, until a time.
func (r *Region) SendInvalidRequests(ctx context.Context, until time.Time, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 58))
	pick := func(ids []string) string {
		if len(ids) == 0 {
			return ""
		}
		return ids[rnd.IntN(len(ids))]
	}
	send := func(id string, method, path string, body []byte) int {
		status, _ := r.query(ctx, r.randomController(), id, method, path, body, 5*time.Second)
		return status
	}
	r.wg.Go(func() {
		for n := 0; ctx.Err() == nil && time.Now().Before(until); n++ {
			time.Sleep(time.Duration(200+rnd.IntN(800)) * time.Millisecond)
			if id := pick(r.Checker.OpenJobs()); id != "" && rnd.IntN(3) == 0 {
				spec, _ := r.Checker.JobSpec(id)
				send(id, http.MethodPost, "/v1/jobs", wire.MustEncode(spec))
				continue
			}
			if id := pick(r.Checker.DoneJobs()); id != "" && rnd.IntN(2) == 0 {
				send(id, http.MethodPost, "/v1/jobs/"+id+"/abort", nil)
				r.Checker.Observe("called off after its end", 1)
				continue
			}
			s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", 700000+n), Class: "c", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal,
				TaskCount: 1 + rnd.IntN(4), CPUs: 4, GPUs: 1, MemoryGB: 20, Image: "img-0", ImageSizeGB: 2, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 15}}
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
			r.Checker.InvalidJobSubmitted(s, why)
			if status := send(s.ID, http.MethodPost, "/v1/jobs", wire.MustEncode(fields)); status == want {
				r.Checker.Observe("odd requests refused", 1)
			} else if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
				r.Checker.AddViolation(fmt.Sprintf("answer: %d where %s", status, why))
			}
			send(s.ID, http.MethodGet, "/v1/jobs/"+s.ID, nil) // 404 or 503, never 200
		}
	})
}

// SubmitShortJobs lets jobs of one task come four a second until a time, a quarter of which are cancelled.
func (r *Region) SubmitShortJobs(ctx context.Context, first int, until time.Time, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 59))
	r.wg.Go(func() {
		for n := first; ctx.Err() == nil && time.Now().Before(until); n++ {
			time.Sleep(time.Duration(150+rnd.IntN(200)) * time.Millisecond)
			s := wire.JobSpec{ID: fmt.Sprintf("run-%06d", n), Class: "short", Team: "open", Kind: wire.KindArray, Priority: wire.PriorityNormal, TaskCount: 1,
				CPUs: 2, MemoryGB: 8, Image: "img-0", ImageSizeGB: 2, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 6}, AllowSpot: true}
			var stop time.Duration
			if rnd.IntN(4) == 0 {
				stop = time.Duration(1+rnd.IntN(12)) * time.Second
			}
			run := float64(2 + rnd.IntN(8))
			r.Checker.Observe("short jobs", 1)
			r.wg.Go(func() { r.SimulateUser(ctx, s, run, stop) })
		}
	})
}
