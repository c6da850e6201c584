package binpack

import (
	"cmp"
	"fmt"

	"github.com/bits-and-blooms/bitset"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
)

// MachineInfo is a machine together with its state in a scheduling cycle.
type MachineInfo struct {
	Machine  *clusterstate.Machine
	Capacity record.Resources
	// Free is the capacity that is not in use and that this cycle has not allocated yet.
	Free record.Resources
	// Owned reports whether the machine is in one of the caller's own shards.
	Owned bool
	// ReservedFor is the ID of the job that the free capacity is reserved for; empty if there is no
	// reservation.
	ReservedFor string

	recordedFree record.Resources // free capacity according to the records
	readiness    Readiness
	modified     bool          // whether this cycle has changed Free or ReservedFor
	boundImages  bitset.BitSet // IDs of the images that bound tasks use
	hintedImages bitset.BitSet // IDs of the images that hints name for the machine
}

// SessionKnown reports whether the session of the machine's agent is known: the machine is owned, or
// its record says that it is up.
func (m *MachineInfo) SessionKnown() bool { return m.Owned || m.Machine.Up }

// compareName compares the name of a machine to name, for use with slices.BinarySearchFunc.
func compareName(info *MachineInfo, name string) int { return cmp.Compare(info.Machine.Name, name) }

// Readiness is the state of a machine that determines what it can be used for.
type Readiness int

// The values of Readiness.
const (
	// Unavailable machines are being deleted, draining, of an unknown type, overdue to boot, or in a
	// zone that can't be reached.
	Unavailable Readiness = iota
	// Ready machines accept tasks, as far as the caller knows.
	Ready
	// Pending machines are booting or temporarily unusable.
	Pending
)

// String returns the name of the readiness, for logs.
func (r Readiness) String() string {
	switch r {
	case Unavailable:
		return "unavailable"
	case Ready:
		return "ready"
	case Pending:
		return "pending"
	default:
		return fmt.Sprintf("Readiness(%d)", int(r))
	}
}
