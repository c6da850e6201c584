package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

const (
	// maxRecordBytes is the largest value under the lowered limits.
	maxRecordBytes = 2048
	// maxOversizeRequests is how many requests may be refused for their size: those in flight when the limits are
	// lowered, or sent before a late activation.
	maxOversizeRequests = 40
	firstGraphJob       = 101
)

// loweredLimits are the limits that the key-value store is lowered to.
var loweredLimits = config.KVLimits{WriteRPS: 56, ValueKB: 2, TxnOps: 10}

// upgradeSettings returns the settings of a controller, which announce the lowered limits.
func upgradeSettings(index int) *config.Settings {
	settings := testSettings(index)
	limits := loweredLimits
	settings.Deployment.State.Next = &limits
	return settings
}

// upgradeScenario is a scenario in which controllers that read only schema version 0 are replaced one by one by those
// of the newest schema version, with crashes and partitions. Then job graphs are submitted and the key-value store's
// limits are lowered.
type upgradeScenario struct {
	seed         uint64
	random       *rand.Rand
	region       *Region
	activated    bool   // the key of the active schema version was written; guarded by the store's lock
	lastGraphJob string // ID of the last job of the graphs
}

// TestUpgradeDays runs generated scenarios of a rolling upgrade, job graphs and lowered limits. UPGRADE_DAYS sets the
// number of scenarios.
func TestUpgradeDays(t *testing.T) {
	simulateSeeds(t, "UPGRADE_DAYS", 5, func(t *testing.T, seed uint64) {
		scenario := upgradeScenario{seed: seed + 1, random: newRandom(seed+1, streamUpgradeScenario)}
		scenario.simulate(t)
	})
}

func (s *upgradeScenario) simulate(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s.region = testRegion{
		settings:        upgradeSettings,
		capacityPerKind: 12,
		random:          newRandom(s.seed, streamUpgradeRegion),
	}.start(ctx)
	s.region.KV.OnWrite = s.checkWrite
	s.region.duplicateSomeCommands(s.seed)
	for i := range threeControllers {
		s.region.AddStoppedController(upgradeSettings(i), 0)
		s.region.StartController(ctx, i)
	}
	s.submitJobsBeforeUpgrade(ctx)
	time.Sleep(30 * time.Second)
	s.replaceControllers(ctx)
	s.submitGraphs(ctx)
	time.Sleep(seconds(s.random, 20))
	s.region.KV.LowerLimits(loweredLimits)
	s.submitWideGangs(ctx)
	for range 4 {
		time.Sleep(secondsBetween(s.random, 1, 15))
		s.region.injectRandomFault(ctx, s.random)
	}
	s.region.waitUntil(90, func() bool {
		return len(s.region.Checker.UnfinishedJobs()) == 0 && s.region.Checker.AllAccepted([]string{s.lastGraphJob})
	})
	time.Sleep(60 * time.Second)
	unfinished, activated := s.region.Checker.UnfinishedJobs(), s.activated
	size, key := s.region.KV.LargestValue("s/")
	s.region.end(cancel)
	checkViolations(t, s.region)
	checkFinished(t, unfinished)
	if !activated {
		t.Error("no schema version was ever activated")
	}
	if size > maxRecordBytes {
		t.Errorf("%s still takes %d bytes", key, size)
	}
	if s.region.KV.OversizeRequests > maxOversizeRequests {
		t.Errorf("%d requests refused for their size", s.region.KV.OversizeRequests)
	}
}

// checkWrite checks that no record that requires tuning.SchemaVersionDependencies is written before the first write of
// the key of the active schema version, and that this key is not written while a controller can't read that version.
// The controllers start at version 0, for which the key is not written.
func (s *upgradeScenario) checkWrite(key string, value wire.RawValue) {
	kv := s.region.KV
	switch {
	case key == record.SchemaVersionKey:
		s.activated = true
		for _, controller := range s.region.controllers {
			if controller.SchemaVersion < tuning.SchemaVersionDependencies {
				kv.Violations = append(kv.Violations,
					"schema version activated while "+controller.Settings.Node+" could only read version 0")
			}
		}
	case s.activated:
	case strings.HasPrefix(key, "s/u/"), strings.HasPrefix(key, "s/catalog/"),
		strings.HasPrefix(key, "s/j/") && hasVersion1Fields(value):
		kv.Violations = append(kv.Violations, "record that requires schema version 1 written before activation: "+key)
	}
}

// hasVersion1Fields reports whether a job's record has fields that exist only from tuning.SchemaVersionDependencies
// (version 1) on.
func hasVersion1Fields(value wire.RawValue) bool {
	var job record.Job
	return wire.Decode(value, &job) == nil &&
		(job.ChunkWidth > 0 || len(job.Groups) > 0 || len(job.Spec.Dependencies) > 0)
}

// submitJobsBeforeUpgrade submits jobs that run through the upgrade. Some of their records are larger than the lowered
// limits allow.
func (s *upgradeScenario) submitJobsBeforeUpgrade(ctx context.Context) {
	for i := range 16 {
		job := randomJob(s.random, i+1)
		delay := seconds(s.random, 90)
		if i < 3 {
			spec := newSpec(i+1, wire.KindArray)
			spec.Class, spec.Image, spec.TaskCount = "wide", "img-0", 90+90*i
			spec.CPUs, spec.GPUs, spec.MemoryGB, spec.RuntimeEstimateSeconds = 0.5, 0, 2, 100
			job = userJob{spec, 130, time.Duration(i/2) * 100 * time.Second}
			delay = 5 * time.Second
		}
		s.region.SimulateUserAfter(ctx, delay, job)
	}
}

// replaceControllers replaces the controllers, in a random order, by controllers of the newest version.
func (s *upgradeScenario) replaceControllers(ctx context.Context) {
	r := s.region
	for _, i := range s.random.Perm(threeControllers) {
		r.KillController(i)
		if oneInThree(s.random) { // another controller restarts, at an unchanged version
			other := (i + 1) % threeControllers
			r.KillController(other)
			r.StartControllerAfter(ctx, other, 4*time.Second)
		}
		time.Sleep(5 * time.Second)
		r.controllers[i].SchemaVersion = tuning.SchemaVersion
		r.StartController(ctx, i)
		if oneInThree(s.random) {
			partition := Partition{From: r.ControllerName(s.random.IntN(threeControllers)), To: hostKV}
			partition.DeliverLate = oneInTwo(s.random)
			partition.Until = time.Now().Add(secondsBetween(s.random, 4, 10))
			r.Network.AddPartition(partition)
		}
		time.Sleep(secondsBetween(s.random, 4, 8))
	}
}

// submitGraphs submits four job graphs. In each of them one job is cancelled with a probability of one in two.
func (s *upgradeScenario) submitGraphs(ctx context.Context) {
	first := firstGraphJob
	for range 4 {
		specs := randomJobGraph(s.random, first, 4+s.random.IntN(6))
		first += len(specs)
		cancelAfter := map[string]time.Duration{}
		if oneInTwo(s.random) {
			cancelled := specs[s.random.IntN(len(specs))].ID
			cancelAfter[cancelled] = secondsBetween(s.random, 1, 30)
		}
		s.region.submitGraph(ctx, specs, cancelAfter)
	}
	s.lastGraphJob = jobID(first - 1)
}

// submitWideGangs submits gangs of tiny tasks: one that takes most of a transaction and one that takes several. They
// take long to simulate, so only the scenario of seed 1 has them.
func (s *upgradeScenario) submitWideGangs(ctx context.Context) {
	if s.seed != 1 {
		return
	}
	for i, tasks := range []int{200, 500} {
		spec := newSpec(90+i, wire.KindGang)
		spec.Class, spec.Image, spec.Priority, spec.TaskCount = "wide", "img-0", wire.PriorityNormal, tasks
		spec.CPUs, spec.GPUs, spec.MemoryGB, spec.RuntimeEstimateSeconds = 0.05, 0, 0.1, 10
		s.region.wg.Go(func() { s.region.SimulateUser(ctx, userJob{spec: spec, runSeconds: 10}) })
	}
}

// randomJobGraph returns a job graph: each job depends on some of the jobs before it.
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

// submitGraph simulates a job graph's user, who submits each job once its dependencies are accepted.
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
