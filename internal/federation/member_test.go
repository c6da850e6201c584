package federation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/tuning"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// tolerance is how much later than its bound a standing may change, at steps of a second.
const tolerance = 2 * time.Second

// memberRun is a member under drawn events, and what its checks remember.
type memberRun struct {
	member       Member
	observed     Observation
	now          time.Time
	silent       bool
	fencedEpoch  uint64
	silentFor    time.Duration // how long it has been named and silent
	wellFor      time.Duration // how long it has been heard, named, exchanged and not drained
	offerChanges int           // how often it began or ceased to accept offers
}

// drawEvent changes what is observed of the member.
func (r *memberRun) drawEvent(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1, 2:
		r.silent = !r.silent
	case 3:
		r.observed.Epoch++
		r.observed.InventoryExchanged = false
	case 4:
		r.observed.Draining = !r.observed.Draining
	case 5:
		r.observed.Configured = rapid.IntRange(0, 3).Draw(t, "named") > 0
	case 6:
		r.forget(t)
	case 7:
		r.observed.InventoryExchanged = true
	}
}

func (r *memberRun) forget(t *rapid.T) {
	t.Helper()
	forgotten, err := r.member.Forget(r.member.Epoch, r.now)
	switch {
	case err == nil:
		r.member, r.fencedEpoch = forgotten, forgotten.Epoch
	case r.member.Standing == StandingLost:
		t.Fatalf("can't be forgotten: %v", err)
	}
}

// step lets a second pass.
func (r *memberRun) step() {
	r.now = r.now.Add(time.Second)
	if !r.silent {
		r.observed.LastHeard = r.now
	}
	before := r.member
	r.member = r.member.Step(r.now, r.observed)
	if r.member.AcceptsOffers() != before.AcceptsOffers() {
		r.offerChanges++
	}
	r.silentFor, r.wellFor = r.silentFor+time.Second, r.wellFor+time.Second
	if !r.silent || !r.observed.Configured {
		r.silentFor = 0
	}
	if !r.isWell() {
		r.wellFor = 0
	}
}

func (r *memberRun) isWell() bool {
	return !r.silent && r.observed.Configured && r.observed.InventoryExchanged && !r.observed.Draining &&
		r.observed.Epoch > r.fencedEpoch
}

// mayAcceptOffers tells whether jobs may be offered to the member by what is observed of it.
func (r *memberRun) mayAcceptOffers() bool {
	return r.now.Sub(r.observed.LastHeard) < tuning.CellSuspectedAfter && r.observed.Configured &&
		r.member.Epoch > r.fencedEpoch && r.member.InventoryExchanged && r.member.Epoch == r.observed.Epoch
}

func (r *memberRun) check(t *rapid.T) {
	t.Helper()
	standing := r.member.Standing
	if r.member.AcceptsOffers() && !r.mayAcceptOffers() {
		t.Fatalf("jobs are offered to %+v, of which is known %+v", r.member, r.observed)
	}
	unheard := standing == StandingLost || standing == StandingUnknown || standing == StandingRemoved
	if r.silentFor > tuning.CellLostAfter+tolerance && !unheard {
		t.Fatalf("silent for %v and %v", r.silentFor, standing)
	}
	longestProbation := tuning.CellProbation << tuning.ZoneProbationMaxDoublings
	if r.wellFor > longestProbation+tolerance && !r.member.AcceptsOffers() {
		t.Fatalf("well for %v and %v, waits for %s", r.wellFor, standing, r.member.WaitReason(r.now))
	}
	if (r.member.WaitReason(r.now) == "") != r.member.AcceptsOffers() {
		t.Fatalf("%v waits for %q", standing, r.member.WaitReason(r.now))
	}
}

// TestMemberStanding drives a member through drawn hours of silence, new epochs, drains, changes of the
// operators' list and forgetting. Jobs are offered only to a member that is heard, named, not forgotten and has
// exchanged inventories under its newest epoch; one that stays silent is lost in bounded time, one that is
// heard and has exchanged inventories joins in bounded time; and one that comes and goes is not offered jobs
// each time.
func TestMemberStanding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := memberRun{
			member:   Member{Name: "b"},
			observed: Observation{Configured: true, Epoch: 1},
			now:      start,
			silent:   true,
		}
		for range rapid.IntRange(1, 60).Draw(t, "spells") {
			run.drawEvent(t)
			for range rapid.IntRange(1, 90).Draw(t, "seconds") {
				run.step()
				run.check(t)
			}
		}
		elapsed := run.now.Sub(start)
		if most := 2 + 2*int(elapsed/tuning.CellProbation); run.offerChanges > most {
			t.Fatalf("%d changes of whether it accepts offers in %v", run.offerChanges, elapsed)
		}
	})
}
