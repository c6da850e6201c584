package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sableusher/internal/wire"
)

// typeLarge is a machine type that jobs may require.
const typeLarge = "large"

// newSpec returns a job of a kind, with one GPU for each task and the priority that is usual for the kind.
func newSpec(number int, kind wire.JobKind) wire.JobSpec {
	priorities := map[wire.JobKind]wire.Priority{
		wire.KindArray:   wire.PriorityNormal,
		wire.KindGang:    wire.PriorityHigh,
		wire.KindService: wire.PriorityProduction,
	}
	return wire.JobSpec{
		ID:          jobID(number),
		Class:       "c",
		Team:        "open",
		Kind:        kind,
		Priority:    priorities[kind],
		CPUs:        4,
		GPUs:        1,
		MemoryGB:    20,
		Image:       "img",
		ImageSizeGB: 1,
	}
}

// wholeMachineGang returns a gang each of whose tasks takes a whole large machine.
func wholeMachineGang(number, tasks int) wire.JobSpec {
	spec := newSpec(number, wire.KindGang)
	spec.TaskCount, spec.CPUs, spec.GPUs, spec.MemoryGB = tasks, 32, 4, 200
	return spec
}

// randomJob returns an array, a gang or a service. All services are cancelled, 60 to 259 s after their submission, and
// one in five of the other jobs, within a minute.
func randomJob(random *rand.Rand, number int) userJob {
	spec := wire.JobSpec{
		ID:          jobID(number),
		Class:       "c",
		Team:        randomTeam(random),
		CPUs:        4,
		GPUs:        1,
		MemoryGB:    20,
		Image:       fmt.Sprintf("img-%d", random.IntN(3)),
		ImageSizeGB: 2,
		JobTiming:   wire.JobTiming{RuntimeEstimateSeconds: 15},
	}
	var cancelAfter time.Duration
	if random.IntN(5) == 0 {
		cancelAfter = seconds(random, 60)
	}
	switch random.IntN(3) {
	case 0:
		randomArray(random, &spec)
	case 1:
		randomGang(random, &spec)
	case 2:
		randomService(random, &spec)
		cancelAfter = time.Minute + seconds(random, 200)
	}
	if random.IntN(8) == 0 && !spec.Spread {
		spec.Zone = randomControllerZone(random)
	}
	if random.IntN(8) == 0 {
		spec.MachineTypes = []string{typeLarge}
	}
	return userJob{spec: spec, runSeconds: float64(5 + random.IntN(30)), cancelAfter: cancelAfter}
}

func randomTeam(random *rand.Rand) string { return []string{"open", "bound"}[random.IntN(2)] }

// randomControllerZone returns a random zone that has a controller.
func randomControllerZone(random *rand.Rand) string { return testZones[random.IntN(2)] }

func randomArray(random *rand.Rand, spec *wire.JobSpec) {
	spec.Kind, spec.Priority = wire.KindArray, wire.PriorityNormal
	spec.TaskCount = 1 + random.IntN(6)
	spec.AllowSpot = random.IntN(2) == 0
	spec.SameZone = random.IntN(3) == 0
	if random.IntN(2) == 0 {
		spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 5, 2
	}
}

func randomGang(random *rand.Rand, spec *wire.JobSpec) {
	spec.Kind, spec.Priority = wire.KindGang, wire.PriorityHigh
	spec.TaskCount = 1 + random.IntN(2)
	spec.CPUs, spec.GPUs = 16, 2
	spec.SameZone = random.IntN(2) == 0
	spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 5, 2
}

func randomService(random *rand.Rand, spec *wire.JobSpec) {
	spec.Kind, spec.Priority = wire.KindService, wire.PriorityProduction
	spec.TaskCount = 1 + random.IntN(3)
	spec.Spread = random.IntN(2) == 0
	spec.RuntimeEstimateSeconds = 0
}
