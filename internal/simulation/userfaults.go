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
	// ownerPollInterval is how often a fault looks whether a shard has changed its owner.
	ownerPollInterval = 50 * time.Millisecond
	// maxUnreachable is how many machines of cancelled jobs get out of reach at once.
	maxUnreachable = 8
)

// userFaults are what users do at the worst moments.
type userFaults struct {
	cancelAtCompletion faultRate // jobs that are cancelled as they complete
	probesUntil        time.Time // users ask all controllers right after an answer until then
}

// CancelAtCompletion lets a share of the jobs be cancelled as they complete, until a time.
func (r *Region) CancelAtCompletion(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users.cancelAtCompletion = newFaultRate(share, until, seed, streamCancelAtCompletion)
}

// taskCompleted lets a job be cancelled if it has just completed and the fault occurs. Callers hold the lock.
func (r *Region) taskCompleted(ctx context.Context, jobID string) {
	if !r.Checker.JobCompleted(jobID) || !r.users.cancelAtCompletion.occurs() {
		return
	}
	r.Checker.Observe(ObservedCancelAtCompletion, 1)
	r.cancelAfter(ctx, jobID, r.users.cancelAtCompletion.duration(0, 1500*time.Millisecond))
}

func (r *Region) cancelAfter(ctx context.Context, jobID string, delay time.Duration) {
	r.wg.Go(func() {
		time.Sleep(delay)
		r.CancelUntilFinal(ctx, jobID)
	})
}

// CancelUntilFinal asks for a job to be cancelled until its user is told a final state, for some minutes at most.
func (r *Region) CancelUntilFinal(ctx context.Context, jobID string) {
	for range maxCancelRetries {
		if ctx.Err() != nil || r.CancelJob(ctx, jobID) {
			return
		}
		time.Sleep(cancelRetryInterval)
	}
}

// unreachability is how the machines of cancelled jobs get out of reach. The zero value: they don't.
type unreachability struct {
	hang time.Duration // their processors stop
	cut  time.Duration // else: they are cut off from everything
}

// CancelRunningJobs lets users cancel so many running jobs within a fifth of a second; up to eight of their
// machines get out of reach.
func (r *Region) CancelRunningJobs(ctx context.Context, count int, machines unreachability, random *rand.Rand) {
	ids := r.Checker.RunningJobs()
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	ids = ids[:min(count, len(ids))]
	machinesLeft := maxUnreachable
	for _, id := range ids {
		if machines != (unreachability{}) {
			for _, machine := range r.Checker.MachinesOfJob(id) {
				if machinesLeft == 0 {
					break
				}
				machinesLeft--
				r.makeUnreachable(machine, machines, random)
			}
		}
		r.cancelAfter(ctx, id, milliseconds(random, 200))
	}
	r.Checker.Observe(ObservedCancelWhileRunning, len(ids))
}

func (r *Region) makeUnreachable(machine string, how unreachability, random *rand.Rand) {
	if how.hang > 0 {
		r.HangMachine(machine, how.hang)
		return
	}
	r.Network.AddPartition(Partition{
		From:        machine,
		To:          anyHost,
		DeliverLate: random.IntN(2) == 0,
		Until:       time.Now().Add(how.cut),
	})
}

// CancelOnOwnerChange lets users cancel some running jobs whenever a shard has just changed its owner, until
// a time.
func (r *Region) CancelOnOwnerChange(ctx context.Context, count int, until time.Time, seed uint64) {
	random := newRandom(seed, streamCancelOnFailover)
	watch := tokenWatch{interval: ownerPollInterval, until: until, token: r.shardTokenSum}
	r.wg.Go(func() {
		watch.run(ctx, func() {
			time.Sleep(milliseconds(random, 300))
			r.CancelRunningJobs(ctx, count, unreachability{}, random)
			r.Checker.Observe(ObservedCancelOnOwnerChange, 1)
		})
	})
}

// ProbeAfterAnswers lets users ask all controllers within milliseconds right after an answer, until a time.
func (r *Region) ProbeAfterAnswers(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users.probesUntil = until
}

// probeAllControllers asks every controller about a job, twice within milliseconds, and repeats its submission.
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
				if r.ask(ctx, controller, probe).status == http.StatusOK {
					r.Checker.Observe(ObservedProbeAnswered, 1)
				}
			})
		}
	}
}
