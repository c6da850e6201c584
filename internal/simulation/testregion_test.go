package simulation

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

// Streams of the generators of the tests' scenarios. Streams 17 and 18 are each used by two kinds of scenarios, and 51
// and 52 also by faults (streamDelayedWrites, streamSlowRequests): these generators are the same if their seeds are.
const (
	streamScenario           randomStream = 7
	streamRegion             randomStream = 8
	streamUpgradeScenario    randomStream = 17
	streamUpgradeRegion      randomStream = 18
	streamFailureScenario    randomStream = 17
	streamFailureRegion      randomStream = 18
	streamPowerLoss          randomStream = 41
	streamFederationScenario randomStream = 51
	streamBurst              randomStream = 52
	streamFaultScenario      randomStream = 61
	streamFaultPairs         randomStream = 63
	streamTenLeaders         randomStream = 64
	streamRefusalScenario    randomStream = 71
	streamRefusalRegion      randomStream = 72
	streamCPUScenario        randomStream = 81
	streamCPURegion          randomStream = 82
	streamOneWayScenario     randomStream = 91
	streamFetchScenario      randomStream = 92
	streamPipelineScenario   randomStream = 93
	streamStartCopyScenario  randomStream = 94
	streamWriteCopyScenario  randomStream = 95
	streamSpreadScenario     randomStream = 96
	streamSpreadRegion       randomStream = 97
	streamOwnMachineScenario randomStream = 98
	streamOwnMachineRegion   randomStream = 99
)

// requestDrainTime is how long requests may be in flight after the end of a scenario.
const requestDrainTime = 3 * time.Minute

// threeControllers is the number of controllers of most regions.
const threeControllers = 3

// Zones of most regions; two of them have controllers.
const (
	zoneEast  = "east"
	zoneWest  = "west"
	zoneNorth = "north"
)

var testZones = []string{zoneEast, zoneWest, zoneNorth}

// Names of a region's controllers.
const (
	firstController  = "node-0"
	secondController = "node-1"
	thirdController  = "node-2"
)

// testMachineTypes are the machine types of most regions.
var testMachineTypes = []wire.MachineType{
	{
		Name: "large", CPUs: 32, GPUs: 4, MemoryGB: 256, ImageCacheGB: 50, ImageFetchGBps: 1,
		Price: 10, SpotPrice: 4, BootSeconds: 5, Zones: testZones,
	},
	{
		Name: "small", CPUs: 8, GPUs: 1, MemoryGB: 64, ImageCacheGB: 50, ImageFetchGBps: 1,
		Price: 3, SpotPrice: 1.2, BootSeconds: 5, Zones: testZones[:2],
	},
}

// largeMachinesOnly has only the large one of the testMachineTypes.
var largeMachinesOnly = testMachineTypes[:1]

// testSettings returns the settings of one of three controllers.
func testSettings(index int) *config.Settings {
	settings := &config.Settings{
		Node:   fmt.Sprintf("node-%d", index),
		Zone:   testZones[index%2],
		Listen: fmt.Sprintf("10.0.0.%d:8080", index+1),
	}
	for other := range threeControllers {
		if other != index {
			settings.Peers = append(settings.Peers, config.Peer{
				Node:     fmt.Sprintf("node-%d", other),
				Zone:     testZones[other%2],
				Endpoint: fmt.Sprintf("10.0.0.%d:8081", other+1),
			})
		}
	}
	settings.Outside.State, settings.Outside.Cloud = "10.2.0.1:2379", "10.2.0.2:8443"
	deployment := &settings.Deployment
	deployment.NodeCount, deployment.Zones = 3, testZones
	deployment.Teams = []config.Team{{Name: "open"}, {Name: "bound", GPUs: 2, GPUsMax: 6}}
	workers := &deployment.Workers
	workers.ReportS, workers.LeaseS, workers.CancelS = 3, 24, 44
	workers.GangWaitS, workers.GangPeerS = 30, 4
	state := &deployment.State
	state.RPS, state.WriteRPS, state.ValueKB, state.TxnOps = 200, 80, 16, 32
	deployment.Cloud.RPS, deployment.Cloud.ListLagS = 8, 10
	return settings
}

// testRegion builds a region for a test. Fields that are not set get the values of most regions.
type testRegion struct {
	settings          func(index int) *config.Settings
	machineTypes      []wire.MachineType
	capacityPerKind   int
	random            *rand.Rand
	log               *slog.Logger
	configureOperator func(*config.Operator)
}

// threeControllerRegion starts a region of three controllers with the settings of most regions.
func threeControllerRegion(ctx context.Context, capacityPerKind int, seed uint64) *Region {
	region := testRegion{capacityPerKind: capacityPerKind, random: newRandom(seed, streamRegion)}
	return region.startControllers(ctx, threeControllers)
}

// start starts the region without controllers.
func (b testRegion) start(ctx context.Context) *Region {
	if b.settings == nil {
		b.settings = testSettings
	}
	if b.machineTypes == nil {
		b.machineTypes = testMachineTypes
	}
	if b.log == nil {
		b.log = testLogger()
	}
	return NewRegion(ctx, RegionOptions{
		Settings:          b.settings(0),
		MachineTypes:      b.machineTypes,
		CapacityPerKind:   b.capacityPerKind,
		Random:            b.random,
		Log:               b.log,
		ConfigureOperator: b.configureOperator,
	})
}

// startControllers starts the region with a number of controllers.
func (b testRegion) startControllers(ctx context.Context, count int) *Region {
	if b.settings == nil {
		b.settings = testSettings
	}
	r := b.start(ctx)
	for i := range count {
		r.AddController(ctx, b.settings(i))
	}
	return r
}

// testLogger returns the logger of a scenario's controllers. Its output is discarded unless STANDIN_LOG is set.
func testLogger() *slog.Logger {
	return slog.New(slog.NewTextHandler(logOutput(), &slog.HandlerOptions{Level: slog.LevelDebug}))
}

func logOutput() io.Writer {
	if os.Getenv("STANDIN_LOG") != "" {
		return os.Stderr
	}
	return io.Discard // not slog.DiscardHandler, so that every test formats its log lines
}

// environmentInt returns a number from the environment, which is set for longer runs by hand, or a default.
func environmentInt(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// simulateSeeds runs a scenario with each seed from 0 on, each in a subtest and a bubble of its own. An environment
// variable sets the number of seeds.
func simulateSeeds(t *testing.T, variable string, defaultCount int, simulate func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(environmentInt(variable, defaultCount)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, seed) })
		})
	}
}

// simulateSeedsInParallel is like simulateSeeds and runs the subtests in parallel.
func simulateSeedsInParallel(
	t *testing.T, variable string, defaultCount int, simulate func(t *testing.T, seed uint64),
) {
	t.Helper()
	for seed := range uint64(environmentInt(variable, defaultCount)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { simulate(t, seed) })
		})
	}
}

// waitUntilFinished waits until all jobs have ended. It checks that every 5 s, for at most the given number of
// attempts.
func (r *Region) waitUntilFinished(attempts int) {
	r.waitUntil(attempts, func() bool { return len(r.Checker.UnfinishedJobs()) == 0 })
}

// waitUntil waits until a condition holds. It checks that every 5 s, for at most the given number of attempts.
func (r *Region) waitUntil(attempts int, condition func() bool) {
	for range attempts {
		time.Sleep(5 * time.Second)
		if condition() {
			return
		}
	}
}

// end ends a run: it stops the controllers and waits until no requests are in flight.
func (r *Region) end(cancel context.CancelFunc) {
	cancel()
	r.Wait()
	time.Sleep(requestDrainTime)
}

// checkViolations fails the test if the run violated a rule.
func checkViolations(t *testing.T, r *Region) {
	t.Helper()
	if len(r.Checker.Violations) > 0 {
		t.Errorf("violated rules:\n%s", r.Checker.Violations[:min(len(r.Checker.Violations), 12)])
	}
	if len(r.KV.Violations) > 0 {
		t.Errorf("violations recorded by the key-value store:\n%s", strings.Join(r.KV.Violations, "\n"))
	}
}

// checkRun fails the test if the run violated a rule or left a job that has not ended.
func checkRun(t *testing.T, r *Region) {
	t.Helper()
	checkViolations(t, r)
	checkFinished(t, r.Checker.UnfinishedJobs())
}

func checkFinished(t *testing.T, unfinished []string) {
	t.Helper()
	if len(unfinished) > 0 {
		t.Errorf("jobs that never ended: %v", unfinished)
	}
}

// checkObserved fails the test if one of the observations was never made, so that a fault did not have the effect
// for which it was injected.
func checkObserved(t *testing.T, checker *InvariantChecker, observations ...Observation) {
	t.Helper()
	for _, observation := range observations {
		if checker.Observed[observation] == 0 {
			t.Errorf("never observed: %s (observed: %v)", observation, checker.Observed)
		}
	}
}
