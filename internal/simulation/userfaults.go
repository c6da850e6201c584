package simulation

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	cancelRetryInterval = time.Second
	maxCancelRetries    = 180
	// ownerPollInterval is the interval at which a fault checks whether the owner of a shard has changed.
	ownerPollInterval = 50 * time.Millisecond
	// maxUnreachable is the maximum number of machines that CancelRunningJobs makes unreachable per call.
	maxUnreachable = 8
)

// userFaults are requests that users send at critical moments.
type userFaults struct {
	cancelAtCompletion faultRate // selects jobs that are cancelled at their completion
	probesUntil        time.Time // until then, users query all controllers right after certain responses
}

// CancelAtCompletion makes users cancel a share of the jobs within 1.5 s of their completion, until a time.
func (r *Region) CancelAtCompletion(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users.cancelAtCompletion = newFaultRate(share, until, seed, streamCancelAtCompletion)
}

// taskCompleted cancels a job after a delay of up to 1.5 s if all its tasks have completed and the fault selects it.
// Callers hold the lock.
func (r *Region) taskCompleted(ctx context.Context, jobID string) {
	if !r.Checker.JobCompleted(jobID) || !r.users.cancelAtCompletion.occurs() {
		return
	}
	r.Checker.Observe(ObservedCancelAtCompletion, 1)
	r.cancelAfter(ctx, jobID, r.users.cancelAtCompletion.duration(0, 1500*time.Millisecond))
}

// cancelAfter cancels a job after a delay. It doesn't block.
func (r *Region) cancelAfter(ctx context.Context, jobID string, delay time.Duration) {
	r.wg.Go(func() {
		time.Sleep(delay)
		r.CancelUntilFinal(ctx, jobID)
	})
}

// CancelUntilFinal requests the cancellation of a job once a second until its user receives a final state, at most
// maxCancelRetries times.
func (r *Region) CancelUntilFinal(ctx context.Context, jobID string) {
	for range maxCancelRetries {
		if ctx.Err() != nil || r.CancelJob(ctx, jobID) {
			return
		}
		time.Sleep(cancelRetryInterval)
	}
}

// unreachability describes how the machines of cancelled jobs become unreachable. With the zero value they don't.
type unreachability struct {
	hangFor   time.Duration // how long the machines hang
	partition time.Duration // if hangFor is 0: how long the machines are partitioned from all other hosts
}

// CancelRunningJobs makes users cancel up to count running jobs within 200 ms, and makes up to maxUnreachable of their
// machines unreachable. It doesn't wait for the cancellations.
func (r *Region) CancelRunningJobs(ctx context.Context, count int, machineFault unreachability, random *rand.Rand) {
	ids := r.Checker.RunningJobs()
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:min(count, len(ids))]
	machinesLeft := maxUnreachable
	for _, id := range ids {
		if machineFault != (unreachability{}) {
			for _, machine := range r.Checker.MachinesOfJob(id) {
				if machinesLeft == 0 {
					break
				}
				machinesLeft--
				r.makeUnreachable(machine, machineFault, random)
			}
		}
		r.cancelAfter(ctx, id, milliseconds(random, 200))
	}
	r.Checker.Observe(ObservedCancelWhileRunning, len(ids))
}

// makeUnreachable makes a machine hang, or partitions it from all other hosts.
func (r *Region) makeUnreachable(machine string, machineFault unreachability, random *rand.Rand) {
	if machineFault.hangFor > 0 {
		r.HangMachine(machine, machineFault.hangFor)
		return
	}
	r.Network.AddPartition(Partition{
		From:        machine,
		To:          anyHost,
		DeliverLate: random.IntN(2) == 0,
		Until:       time.Now().Add(machineFault.partition),
	})
}

// CancelOnOwnerChange makes users cancel up to count running jobs within about 0.5 s after each change of a shard's
// owner, until a time.
func (r *Region) CancelOnOwnerChange(ctx context.Context, count int, until time.Time, seed uint64) {
	random := newRandom(seed, streamCancelOnOwnerChange)
	watch := tokenWatch{interval: ownerPollInterval, until: until, token: r.shardTokenSum}
	r.wg.Go(func() {
		watch.run(ctx, func() {
			time.Sleep(milliseconds(random, 300))
			r.CancelRunningJobs(ctx, count, unreachability{}, random)
			r.Checker.Observe(ObservedCancelOnOwnerChange, 1)
		})
	})
}

// ProbeAfterResponses makes users query all controllers within milliseconds after an acceptance, a cancellation or a
// final state was reported, until a time.
func (r *Region) ProbeAfterResponses(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users.probesUntil = until
}

// probeAllControllers sends two queries about a job and a repeated submission to each controller within 40 ms. It
// doesn't block, and does nothing unless the fault is active.
func (r *Region) probeAllControllers(ctx context.Context, jobID string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !time.Now().Before(r.users.probesUntil) {
		return
	}
	r.Checker.Observe(ObservedProbe, 1)
	probes := []userRequest{pollRequest(jobID), pollRequest(jobID), submitRequest(jobID, body)}
	for _, controller := range r.controllers {
		for _, probe := range probes {
			delay := milliseconds(r.random, 40)
			r.wg.Go(func() {
				time.Sleep(delay)
				if r.sendAndCheck(ctx, controller, probe).status == http.StatusOK {
					r.Checker.Observe(ObservedProbeAnswered, 1)
				}
			})
		}
	}
}
