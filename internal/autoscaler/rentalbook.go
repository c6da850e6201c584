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

// rentalBook names the rentals and remembers what the cloud has refused.
type rentalBook struct {
	// mu guards the fields below while rentals are requested at once. Otherwise the goroutine that
	// resizes is the only one to use them, and reads without it.
	mu                sync.Mutex
	serial            int
	refusals          map[machineKind]refusal
	machineCounts     map[machineKind]int       // of the deployment's machines, as last counted
	insufficientUntil map[machineKind]time.Time // until when a kind is believed to have less than a gang needs
}

func newRentalBook() rentalBook {
	return rentalBook{
		refusals:          map[machineKind]refusal{},
		insufficientUntil: map[machineKind]time.Time{},
	}
}

// nextName returns a new rental's name, made of a controller's name and incarnation. It returns
// false if the kind has been refused meanwhile.
func (b *rentalBook) nextName(controller string, incarnation uint64, kind machineKind) (name string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isRefused := b.isRefused(kind, time.Now())
	b.serial++
	return fmt.Sprintf("r-%s-%x-%d", controller, incarnation, b.serial), !isRefused
}

// recordRefusal remembers that the cloud has none of a kind, or too few. The backoff grows with each
// refusal in a row: where all kinds are refused, as after the loss of a zone, asking for each of
// them every few seconds took the calls that the lost machines' deletions waited for.
func (b *rentalBook) recordRefusal(kind machineKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, last := time.Now(), b.refusals[kind]
	backoff := tuning.RefusedHold
	if isInRow := now.Sub(last.until) < tuning.RefusedHold; isInRow {
		backoff = min(2*last.backoff, tuning.RefusedHoldMax)
	}
	b.refusals[kind] = refusal{until: now.Add(backoff), backoff: backoff, machinesHeld: b.machineCounts[kind]}
	b.insufficientUntil[kind] = now.Add(tuning.ShortHold)
}

// isRefused reports whether a kind was refused lately.
func (b *rentalBook) isRefused(kind machineKind, now time.Time) bool {
	return now.Before(b.refusals[kind].until)
}

// isAmple reports whether a kind is not known to have less than a gang needs.
func (b *rentalBook) isAmple(kind machineKind, now time.Time) bool {
	return !now.Before(b.insufficientUntil[kind])
}

// setMachineCounts takes in how many machines of each kind the deployment has. It forgets the
// refusals of kinds of which there are fewer than when they were refused: what has been given back
// is to be had.
func (b *rentalBook) setMachineCounts(counts map[machineKind]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machineCounts = counts
	maps.DeleteFunc(b.refusals, func(kind machineKind, r refusal) bool { return counts[kind] < r.machinesHeld })
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
