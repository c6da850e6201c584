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
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

// Streams of the days' generators.
const (
	streamDay            randomStream = 7
	streamRegion         randomStream = 8
	streamUpgradeDay     randomStream = 17
	streamUpgradeRegion  randomStream = 18
	streamFailureDay     randomStream = 17
	streamFailureRegion  randomStream = 18
	streamPowerLoss      randomStream = 41
	streamFederationDay  randomStream = 51
	streamBurst          randomStream = 52
	streamCombinationDay randomStream = 61
	streamFaultPairs     randomStream = 63
	streamTenLeaders     randomStream = 64
	streamRefusalDay     randomStream = 71
	streamRefusalRegion  randomStream = 72
	streamCPUDay         randomStream = 81
	streamCPURegion      randomStream = 82
	streamOneWayDay      randomStream = 91
	streamFetchDay       randomStream = 92
)

// requestDrainTime is how long requests may still be on their way when a day is over.
const requestDrainTime = 3 * time.Minute

// threeControllers is the size of most regions.
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

// testMachineTypes are the machines of most regions.
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

// largeMachinesOnly are the first of them.
var largeMachinesOnly = testMachineTypes[:1]

// testSettings are those of one of three controllers.
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

// testRegion builds a region for a test. Fields that are left out are those of most regions.
type testRegion struct {
	settings          func(index int) *config.Settings
	machineTypes      []wire.MachineType
	capacityPerKind   int
	random            *rand.Rand
	log               *slog.Logger
	configureOperator func(*config.Operator)
}

// threeControllerRegion starts a region of three controllers that is as most are.
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

// startControllers starts the region with so many controllers.
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

// testLogger is where the controllers of a day log to: nowhere, unless STANDIN_LOG is set.
func testLogger() *slog.Logger {
	return slog.New(slog.NewTextHandler(logOutput(), &slog.HandlerOptions{Level: slog.LevelDebug}))
}

func logOutput() io.Writer {
	if os.Getenv("STANDIN_LOG") != "" {
		return os.Stderr
	}
	return io.Discard // and not slog.DiscardHandler: every test formats what is logged
}

// environmentInt reads a size from the environment, for longer runs by hand.
func environmentInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// waitUntilFinished waits, 5 s at a time and so often at most, until all jobs are over.
func (r *Region) waitUntilFinished(times int) {
	r.waitUntil(times, func() bool { return len(r.Checker.UnfinishedJobs()) == 0 })
}

// waitUntil waits, 5 s at a time and so often at most, until a condition holds.
func (r *Region) waitUntil(times int, condition func() bool) {
	for range times {
		time.Sleep(5 * time.Second)
		if condition() {
			return
		}
	}
}

// end ends a day: its controllers, and what is still on its way.
func (r *Region) end(cancel context.CancelFunc) {
	cancel()
	r.Wait()
	time.Sleep(requestDrainTime)
}

// checkViolations fails a day that broke a rule.
func checkViolations(t *testing.T, r *Region) {
	t.Helper()
	if len(r.Checker.Violations) > 0 {
		t.Errorf("broken rules:\n%s", r.Checker.Violations[:min(len(r.Checker.Violations), 12)])
	}
	if len(r.KV.Violations) > 0 {
		t.Errorf("requests over the key-value store's limits:\n%s", strings.Join(r.KV.Violations, "\n"))
	}
}

// checkDay fails a day that broke a rule or left a job behind.
func checkDay(t *testing.T, r *Region) {
	t.Helper()
	checkViolations(t, r)
	checkFinished(t, r.Checker.UnfinishedJobs())
}

func checkFinished(t *testing.T, unfinished []string) {
	t.Helper()
	if len(unfinished) > 0 {
		t.Errorf("never finished: %v", unfinished)
	}
}

// checkObserved fails a day on which a fault did not meet what it is meant to meet.
func checkObserved(t *testing.T, checker *InvariantChecker, observations ...Observation) {
	t.Helper()
	for _, observation := range observations {
		if checker.Observed[observation] == 0 {
			t.Errorf("the day did not have it: %s (%v)", observation, checker.Observed)
		}
	}
}
