package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	// maxRecordBytes is the largest value under the lowered limits.
	maxRecordBytes = 2048
	// maxOversizeRequests may be on their way when the limits fall, or if activation is late.
	maxOversizeRequests = 40
	firstGraphJob       = 101
)

// loweredLimits are those that the key-value store's limits fall to.
var loweredLimits = config.KVLimits{WriteRPS: 56, ValueKB: 2, TxnOps: 10}

// upgradeSettings announce the lowered limits.
func upgradeSettings(index int) *config.Settings {
	settings := testSettings(index)
	limits := loweredLimits
	settings.Deployment.State.Next = &limits
	return settings
}

// upgradeDay is a day on which controllers of the version before are replaced
// one by one, with crashes and cuts, then job graphs come and the key-value store's
// limits fall.
type upgradeDay struct {
	seed      uint64
	random    *rand.Rand
	region    *Region
	activated bool   // the newest schema version; the store's lock guards it
	lastOfAll string // the last job of the graphs
}

// TestUpgradeDays drives job graphs, a rolling upgrade and falling limits through
// generated days. UPGRADE_DAYS plays more of them.
func TestUpgradeDays(t *testing.T) {
	for seed := range uint64(environmentInt("UPGRADE_DAYS", 5)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				day := upgradeDay{seed: seed + 1, random: newRandom(seed+1, streamUpgradeDay)}
				day.simulate(t)
			})
		})
	}
}

func (d *upgradeDay) simulate(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d.region = testRegion{
		settings:        upgradeSettings,
		capacityPerKind: 12,
		random:          newRandom(d.seed, streamUpgradeRegion),
	}.start(ctx)
	d.region.KV.OnWrite = d.checkWrite
	for i := range threeControllers {
		d.region.AddStoppedController(upgradeSettings(i), 0)
		d.region.StartController(ctx, i)
	}
	d.submitLastingJobs(ctx)
	time.Sleep(30 * time.Second)
	d.replaceControllers(ctx)
	d.submitGraphs(ctx)
	time.Sleep(seconds(d.random, 20))
	d.region.KV.LowerLimits(loweredLimits)
	d.submitWideGangs(ctx)
	for range 4 {
		time.Sleep(secondsBetween(d.random, 1, 15))
		d.region.injectRandomFault(ctx, d.random)
	}
	d.region.waitUntil(90, func() bool {
		return len(d.region.Checker.UnfinishedJobs()) == 0 && d.region.Checker.AllAccepted([]string{d.lastOfAll})
	})
	time.Sleep(60 * time.Second)
	unfinished, activated := d.region.Checker.UnfinishedJobs(), d.activated
	size, key := d.region.KV.LargestValue("s/")
	d.region.end(cancel)
	checkViolations(t, d.region)
	checkFinished(t, unfinished)
	if !activated {
		t.Error("the newest schema version was never activated")
	}
	if size > maxRecordBytes {
		t.Errorf("%s still takes %d bytes", key, size)
	}
	if d.region.KV.OversizeRequests > maxOversizeRequests {
		t.Errorf("%d requests refused for their size", d.region.KV.OversizeRequests)
	}
}

// checkWrite checks that nothing of the newest form is written before it is activated, and that it is not
// activated while a controller can't read it.
func (d *upgradeDay) checkWrite(key string, value wire.RawValue) {
	kv := d.region.KV
	switch {
	case key == record.SchemaVersionKey:
		d.activated = true
		for _, controller := range d.region.controllers {
			if controller.SchemaVersion < tuning.SchemaVersionDependencies {
				kv.Violations = append(kv.Violations, "activated while "+controller.Settings.Node+" was old")
			}
		}
	case d.activated:
	case strings.HasPrefix(key, "s/u/"), strings.HasPrefix(key, "s/catalog/"),
		strings.HasPrefix(key, "s/j/") && isNewForm(value):
		kv.Violations = append(kv.Violations, "new form before activation: "+key)
	}
}

// isNewForm tells whether a job's record has what only the newest form has.
func isNewForm(value wire.RawValue) bool {
	var job record.Job
	return wire.Decode(value, &job) == nil &&
		(job.ChunkWidth > 0 || len(job.Groups) > 0 || len(job.Spec.Dependencies) > 0)
}

// submitLastingJobs submits work that lasts through the upgrade, with records that outgrow what is to come.
func (d *upgradeDay) submitLastingJobs(ctx context.Context) {
	for i := range 16 {
		job := randomJob(d.random, i+1)
		delay := seconds(d.random, 90)
		if i < 3 {
			spec := newSpec(i+1, wire.KindArray)
			spec.Class, spec.Image, spec.TaskCount = "wide", "img-0", 90+90*i
			spec.CPUs, spec.GPUs, spec.MemoryGB, spec.RuntimeEstimateSeconds = 0.5, 0, 2, 100
			job = userJob{spec, 130, time.Duration(i/2) * 100 * time.Second}
			delay = 5 * time.Second
		}
		d.region.SimulateUserAfter(ctx, delay, job)
	}
}

// replaceControllers replaces the controllers in a drawn order by those of the newest version.
func (d *upgradeDay) replaceControllers(ctx context.Context) {
	r := d.region
	for _, i := range d.random.Perm(threeControllers) {
		r.KillController(i)
		if oneInThree(d.random) { // another ends as well, and comes back as what it was
			other := (i + 1) % threeControllers
			r.KillController(other)
			r.StartControllerAfter(ctx, other, 4*time.Second)
		}
		time.Sleep(5 * time.Second)
		r.controllers[i].SchemaVersion = tuning.SchemaVersion
		r.StartController(ctx, i)
		if oneInThree(d.random) {
			partition := Partition{From: r.ControllerName(d.random.IntN(threeControllers)), To: hostKV}
			partition.DeliverLate = oneInTwo(d.random)
			partition.Until = time.Now().Add(secondsBetween(d.random, 4, 10))
			r.Network.AddPartition(partition)
		}
		time.Sleep(secondsBetween(d.random, 4, 8))
	}
}

// submitGraphs submits four job graphs, in half of which one job is cancelled.
func (d *upgradeDay) submitGraphs(ctx context.Context) {
	first := firstGraphJob
	for range 4 {
		specs := randomJobGraph(d.random, first, 4+d.random.IntN(6))
		first += len(specs)
		cancelAfter := map[string]time.Duration{}
		if oneInTwo(d.random) {
			cancelled := specs[d.random.IntN(len(specs))].ID
			cancelAfter[cancelled] = secondsBetween(d.random, 1, 30)
		}
		d.region.submitGraph(ctx, specs, cancelAfter)
	}
	d.lastOfAll = jobID(first - 1)
}

// submitWideGangs submits gangs of tiny tasks: one that takes most of a transaction, one that takes
// several. They take long to play, so one day has them.
func (d *upgradeDay) submitWideGangs(ctx context.Context) {
	if d.seed != 1 {
		return
	}
	for i, tasks := range []int{200, 500} {
		spec := newSpec(90+i, wire.KindGang)
		spec.Class, spec.Image, spec.Priority, spec.TaskCount = "wide", "img-0", wire.PriorityNormal, tasks
		spec.CPUs, spec.GPUs, spec.MemoryGB, spec.RuntimeEstimateSeconds = 0.05, 0, 0.1, 10
		d.region.wg.Go(func() { d.region.SimulateUser(ctx, userJob{spec: spec, runSeconds: 10}) })
	}
}

// randomJobGraph draws a job graph: each job awaits some of those before it.
func randomJobGraph(random *rand.Rand, first, jobs int) []wire.JobSpec {
	var specs []wire.JobSpec
	for i := range jobs {
		spec := wire.JobSpec{
			ID:          jobID(first + i),
			Class:       fmt.Sprintf("p%d", i%4),
			Team:        randomTeam(random),
			Kind:        wire.KindArray,
			Priority:    wire.PriorityLow,
			TaskCount:   1 + random.IntN(8),
			CPUs:        1,
			MemoryGB:    4,
			Image:       fmt.Sprintf("img-%d", random.IntN(3)),
			ImageSizeGB: 1,
			JobTiming:   wire.JobTiming{RuntimeEstimateSeconds: 8},
			AllowSpot:   oneInTwo(random),
		}
		if random.IntN(4) == 0 {
			spec.Kind, spec.TaskCount, spec.SameZone = wire.KindGang, 1+random.IntN(3), true
		}
		for k := range i {
			if oneInThree(random) || k == i-1 && oneInTwo(random) {
				spec.Dependencies = append(spec.Dependencies, specs[k].ID)
			}
		}
		if i == jobs-1 {
			spec.Priority, spec.DeadlineSeconds = wire.PriorityHigh, 120
		}
		specs = append(specs, spec)
	}
	return specs
}

// submitGraph plays a job graph's user: each job is submitted once those that it
// awaits are accepted.
func (r *Region) submitGraph(ctx context.Context, specs []wire.JobSpec, cancelAfter map[string]time.Duration) {
	for _, spec := range specs {
		r.wg.Go(func() {
			for !r.Checker.AllAccepted(spec.Dependencies) {
				time.Sleep(200 * time.Millisecond)
				if ctx.Err() != nil {
					return
				}
			}
			r.SimulateUser(ctx, userJob{spec, 6, cancelAfter[spec.ID]})
		})
	}
}
