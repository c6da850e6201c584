package autoscaler

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"sableusher/internal/tuning"
)

// machineKind is what a rental asks for.
type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

// anyKind accepts every kind.
func anyKind(machineKind) bool { return true }

// refusal is what is remembered of a kind of which the cloud had none, or too few.
type refusal struct {
	until        time.Time // when it may be asked for again
	backoff      time.Duration
	machinesHeld int // machines of the kind that the deployment had before
}

// rentalTracker names the rentals and remembers what the cloud has refused.
type rentalTracker struct {
	// mu guards the fields below while rentals are requested at once. Otherwise the goroutine that
	// resizes is the only one to use them, and reads without it.
	mu                sync.Mutex
	serial            int
	refusals          map[machineKind]refusal
	machineCounts     map[machineKind]int       // of the deployment's machines, as last counted
	insufficientUntil map[machineKind]time.Time // until when a kind is believed to have less than a gang needs
}

func newRentalTracker() rentalTracker {
	return rentalTracker{
		refusals:          map[machineKind]refusal{},
		insufficientUntil: map[machineKind]time.Time{},
	}
}

// nextName returns a new rental's name, made of a controller's name and incarnation. It returns
// false if the kind has been refused meanwhile.
func (t *rentalTracker) nextName(controller string, incarnation uint64, kind machineKind) (name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isRefused := t.isRefused(kind, time.Now())
	t.serial++
	return fmt.Sprintf("r-%s-%x-%d", controller, incarnation, t.serial), !isRefused
}

// recordRefusal remembers that the cloud has none of a kind, or too few. The backoff grows with each
// refusal in a row: where all kinds are refused, as after the loss of a zone, asking for each of
// them every few seconds took the calls that the lost machines' deletions waited for.
func (t *rentalTracker) recordRefusal(kind machineKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, last := time.Now(), t.refusals[kind]
	backoff := tuning.RentalRefusalBackoff
	if isInRow := now.Sub(last.until) < tuning.RentalRefusalBackoff; isInRow {
		backoff = min(2*last.backoff, tuning.RentalRefusalBackoffMax)
	}
	t.refusals[kind] = refusal{until: now.Add(backoff), backoff: backoff, machinesHeld: t.machineCounts[kind]}
	t.insufficientUntil[kind] = now.Add(tuning.InsufficientCapacityHold)
}

// isRefused reports whether a kind was refused lately.
func (t *rentalTracker) isRefused(kind machineKind, now time.Time) bool {
	return now.Before(t.refusals[kind].until)
}

// isAmple reports whether a kind is not known to have less than a gang needs.
func (t *rentalTracker) isAmple(kind machineKind, now time.Time) bool {
	return !now.Before(t.insufficientUntil[kind])
}

// setMachineCounts takes in how many machines of each kind the deployment has. It forgets the
// refusals of kinds of which there are fewer than when they were refused: what has been given back
// is to be had.
func (t *rentalTracker) setMachineCounts(counts map[machineKind]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machineCounts = counts
	maps.DeleteFunc(t.refusals, func(kind machineKind, r refusal) bool { return counts[kind] < r.machinesHeld })
}

// countMachines counts the deployment's machines by kind.
func (a *Autoscaler) countMachines() {
	counts := map[machineKind]int{}
	a.state.RLock()
	for _, machine := range a.state.Machines {
		if !machine.Deleting {
			counts[machineKind{machine.Type, machine.Zone, machine.Spot}]++
		}
	}
	a.state.RUnlock()
	a.rentals.setMachineCounts(counts)
}
