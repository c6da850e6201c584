package autoscaler

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"sableusher/internal/tuning"
)

// machineKind is a kind of machine that can be rented: a machine type in a zone, on demand or spot.
type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

// anyKind accepts every kind.
func anyKind(machineKind) bool { return true }

// refusal records that the cloud provided no machines of a kind, or fewer than requested.
type refusal struct {
	until        time.Time // when the kind may be requested again
	backoff      time.Duration
	machinesHeld int // the deployment's machines of the kind at the refusal
}

// rentalTracker names rentals and records the kinds of machines that the cloud has refused.
type rentalTracker struct {
	// mu guards the fields below while rentAll requests rentals concurrently. At other times only the
	// goroutine that calls resize uses the fields, and reads them without the lock.
	mu                sync.Mutex
	serial            int
	refusals          map[machineKind]refusal
	machineCounts     map[machineKind]int       // the deployment's machines by kind, as last counted
	insufficientUntil map[machineKind]time.Time // until when the cloud is assumed to have too few for a gang
}

func newRentalTracker() rentalTracker {
	return rentalTracker{
		refusals:          map[machineKind]refusal{},
		insufficientUntil: map[machineKind]time.Time{},
	}
}

// nextName returns a unique name for a new rental, made of the node's name, its incarnation and a
// serial number. It returns false if the kind is refused at present.
func (t *rentalTracker) nextName(nodeName string, incarnation uint64, kind machineKind) (name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isRefused := t.isRefused(kind, time.Now())
	t.serial++
	return fmt.Sprintf("r-%s-%x-%d", nodeName, incarnation, t.serial), !isRefused
}

// recordRefusal records that the cloud provided no machines of a kind, or fewer than requested. The
// backoff doubles with each consecutive refusal, up to tuning.RentalRefusalBackoffMax. After the loss of
// a zone the cloud may refuse all kinds. Requests for each kind every few seconds would then use up the
// cloud calls that the deletion of the lost machines needs.
func (t *rentalTracker) recordRefusal(kind machineKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, last := time.Now(), t.refusals[kind]
	backoff := tuning.RentalRefusalBackoff
	if isConsecutive := now.Sub(last.until) < tuning.RentalRefusalBackoff; isConsecutive {
		backoff = min(2*last.backoff, tuning.RentalRefusalBackoffMax)
	}
	t.refusals[kind] = refusal{until: now.Add(backoff), backoff: backoff, machinesHeld: t.machineCounts[kind]}
	t.insufficientUntil[kind] = now.Add(tuning.InsufficientCapacityBackoff)
}

// isRefused reports whether a kind was refused and its backoff has not ended.
func (t *rentalTracker) isRefused(kind machineKind, now time.Time) bool {
	return now.Before(t.refusals[kind].until)
}

// mayFitGang reports whether the cloud may have enough machines of a kind for a whole gang: no refusal of
// the kind was recorded within tuning.InsufficientCapacityBackoff.
func (t *rentalTracker) mayFitGang(kind machineKind, now time.Time) bool {
	return !now.Before(t.insufficientUntil[kind])
}

// setMachineCounts records the number of the deployment's machines of each kind. It removes the refusals
// of kinds of which the deployment has fewer machines than at the refusal, because the deleted machines
// can be rented again.
func (t *rentalTracker) setMachineCounts(counts map[machineKind]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machineCounts = counts
	maps.DeleteFunc(t.refusals, func(kind machineKind, r refusal) bool { return counts[kind] < r.machinesHeld })
}

// countMachines updates the rental tracker with the deployment's machines by kind, without those that are
// being deleted.
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
