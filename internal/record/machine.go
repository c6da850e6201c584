package record

import ()

// InitialMachine is what a rental tells of its machines until they have records of
// their own: a fleet's worth of machines is recorded by its few rentals.
func (r *Rental) InitialMachine() Machine {
	return Machine{Type: r.Type, Zone: r.Zone, Spot: r.Spot, CreatedAtMs: r.RequestedAtMs}
}

// Machine is a rented or adopted machine.
type Machine struct {
	Type        string `cbor:"h"`
	Zone        string `cbor:"z"`
	Spot        bool   `cbor:"o"`
	Address     string `cbor:"a,omitempty"`
	CreatedAtMs int64  `cbor:"t"`
	Up          bool   `cbor:"u,omitempty"`
	Session     uint64 `cbor:"s,omitempty"` // the worker's, where it is not the first
	Draining    bool   `cbor:"d,omitempty"` // no new tasks; to be returned once idle
	Deleting    bool   `cbor:"g,omitempty"` // being deleted: nothing is placed or renewed
}

// Rental is a rental request, written before it is sent. Once answered it
// lists the machines, which need no records of their own until they are up.
type Rental struct {
	Type          string   `cbor:"h"`
	Zone          string   `cbor:"z"`
	Spot          bool     `cbor:"o"`
	Count         int      `cbor:"n"`
	RequestedAtMs int64    `cbor:"t"`
	Machines      []string `cbor:"m,omitempty"`
}
