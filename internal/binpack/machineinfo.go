package binpack

import (
	"cmp"
	"fmt"

	"github.com/bits-and-blooms/bitset"

	"sableusher/internal/clusterstate"
	"sableusher/internal/record"
)

// MachineInfo is a machine as a scheduling cycle sees it.
type MachineInfo struct {
	Machine  *clusterstate.Machine
	Capacity record.Resources
	// Free is what the cycle has left of the capacity so far.
	Free record.Resources
	// Owned is set if the machine is in one of the caller's own shards.
	Owned bool
	// ReservedFor is the ID of the job that the free capacity is reserved for; empty if it is for
	// all.
	ReservedFor string

	recordedFree record.Resources // what the records leave free
	readiness    Readiness
	modified     bool          // this cycle has changed Free or ReservedFor
	boundImages  bitset.BitSet // IDs of the images of bound tasks
	hintedImages bitset.BitSet // IDs of the other images that it is believed to hold
}

// SessionKnown reports whether the machine's agent and its session are known.
func (m *MachineInfo) SessionKnown() bool { return m.Owned || m.Machine.Up }

// compareName compares a machine's name, for binary search.
func compareName(info *MachineInfo, name string) int { return cmp.Compare(info.Machine.Name, name) }

// Readiness says what a machine can be used for.
type Readiness int

// The values of Readiness.
const (
	// Unavailable machines are draining, given up, overdue or cut off.
	Unavailable Readiness = iota
	// Ready machines take tasks, as far as the caller knows.
	Ready
	// Pending machines are booting, or can't be used just now.
	Pending
)

// String returns the readiness for logs.
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
