package record

// Machine is the record of a rented or adopted machine.
type Machine struct {
	Type        string `cbor:"h"`
	Zone        string `cbor:"z"`
	Spot        bool   `cbor:"o"`
	Address     string `cbor:"a,omitempty"`
	CreatedAtMs int64  `cbor:"t"`
	Up          bool   `cbor:"u,omitempty"` // its agent has reported, and no direction of its link is known to be lost
	Session     uint64 `cbor:"s,omitempty"` // of the agent; 0 for its first session
	Draining    bool   `cbor:"d,omitempty"` // receives no new tasks and is returned once it has none
	Deleting    bool   `cbor:"g,omitempty"` // deletion was requested: no tasks are placed on it and no leases renewed
}

// Rental is the record of a rental request. It is written before the request is sent. Once the request is answered, the
// record lists the rented machines, which need no records of their own until they are up.
type Rental struct {
	Type          string   `cbor:"h"`
	Zone          string   `cbor:"z"`
	Spot          bool     `cbor:"o"`
	Count         int      `cbor:"n"`
	RequestedAtMs int64    `cbor:"t"`
	Machines      []string `cbor:"m,omitempty"`
}

// InitialMachine returns the record that represents each machine of the rental until the machine has its own record. In
// this way a few rental records suffice for a whole scale-out.
func (r *Rental) InitialMachine() Machine {
	return Machine{Type: r.Type, Zone: r.Zone, Spot: r.Spot, CreatedAtMs: r.RequestedAtMs}
}
