package federation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// tolerance is how long after its bound a standing may change, as the member is stepped once a second.
const tolerance = 2 * time.Second

// memberRun is a member that is driven by random events, with the history that the checks need.
type memberRun struct {
	member       Member
	observed     Observation
	now          time.Time
	silent       bool
	fencedEpoch  uint64
	silentFor    time.Duration // how long it has been configured and silent
	healthyFor   time.Duration // how long isHealthy has been true
	offerChanges int           // how often it started or stopped accepting offers
}

// drawEvent applies a random event to the member or to what is observed of it.
func (r *memberRun) drawEvent(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1, 2:
		r.silent = !r.silent
	case 3:
		r.observed.Epoch++
		r.observed.InventoryReceived = false
	case 4:
		r.observed.Draining = !r.observed.Draining
	case 5:
		r.observed.Configured = rapid.IntRange(0, 3).Draw(t, "configured") > 0
	case 6:
		r.forget(t)
	case 7:
		r.observed.InventoryReceived = true
	}
}

func (r *memberRun) forget(t *rapid.T) {
	t.Helper()
	forgotten, err := r.member.Forget(r.member.Epoch, r.now)
	switch {
	case err == nil:
		r.member, r.fencedEpoch = forgotten, forgotten.Epoch
	case r.member.Standing == StandingLost:
		t.Fatalf("forget a lost member: %v", err)
	}
}

// step advances the run by one second.
func (r *memberRun) step() {
	r.now = r.now.Add(time.Second)
	if !r.silent {
		r.observed.LastContact = r.now
	}
	before := r.member
	r.member = r.member.Step(r.now, r.observed)
	if r.member.AcceptsOffers() != before.AcceptsOffers() {
		r.offerChanges++
	}
	r.silentFor, r.healthyFor = r.silentFor+time.Second, r.healthyFor+time.Second
	if !r.silent || !r.observed.Configured {
		r.silentFor = 0
	}
	if !r.isHealthy() {
		r.healthyFor = 0
	}
}

// isHealthy reports whether the member must join within bounded time: it is reachable and configured, has exchanged
// inventories, is not drained and is not forgotten.
func (r *memberRun) isHealthy() bool {
	return !r.silent && r.observed.Configured && r.observed.InventoryReceived && !r.observed.Draining &&
		r.observed.Epoch > r.fencedEpoch
}

// mayAcceptOffers reports whether the observations of the member permit that jobs are offered to it.
func (r *memberRun) mayAcceptOffers() bool {
	return r.now.Sub(r.observed.LastContact) < tuning.CellSuspectedAfter && r.observed.Configured &&
		r.member.Epoch > r.fencedEpoch && r.member.InventoryReceived && r.member.Epoch == r.observed.Epoch
}

func (r *memberRun) check(t *rapid.T) {
	t.Helper()
	standing := r.member.Standing
	if r.member.AcceptsOffers() && !r.mayAcceptOffers() {
		t.Fatalf("member %+v accepts offers at the observation %+v", r.member, r.observed)
	}
	isDisconnected := standing == StandingLost || standing == StandingUnknown || standing == StandingRemoved
	if r.silentFor > tuning.CellLostAfter+tolerance && !isDisconnected {
		t.Fatalf("member is silent for %v, but its standing is %v", r.silentFor, standing)
	}
	longestProbation := tuning.CellProbation << tuning.ProbationMaxReturns
	if r.healthyFor > longestProbation+tolerance && !r.member.AcceptsOffers() {
		t.Fatalf("member is healthy for %v, but its standing is %v; it waits for %s",
			r.healthyFor, standing, r.member.WaitReason(r.now))
	}
	if (r.member.WaitReason(r.now) == "") != r.member.AcceptsOffers() {
		t.Fatalf("member of standing %v waits for %q", standing, r.member.WaitReason(r.now))
	}
}

// TestMemberStanding drives a member through random silence, new epochs, drains, changes of the operators' settings
// and forgetting, for up to 90 minutes of simulated time. Jobs may be offered only to a member that is reachable,
// configured and not forgotten, and that has exchanged inventories under its newest epoch. A member that stays
// silent must be lost in bounded time, and a healthy one must join in bounded time. How often it starts and stops
// accepting offers is bounded too, as a member that flaps must not accept offers on each return.
func TestMemberStanding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := memberRun{
			member:   Member{Name: "b"},
			observed: Observation{Configured: true, Epoch: 1},
			now:      start,
			silent:   true,
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			run.drawEvent(t)
			for range rapid.IntRange(1, 90).Draw(t, "seconds") {
				run.step()
				run.check(t)
			}
		}
		elapsed := run.now.Sub(start)
		if most := 2 + 2*int(elapsed/tuning.CellProbation); run.offerChanges > most {
			t.Fatalf("the member started or stopped accepting offers %d times in %v", run.offerChanges, elapsed)
		}
	})
}
