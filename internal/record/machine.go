package record

// Machine is a rented or adopted machine.
type Machine struct {
	Type        string `cbor:"h"`
	Zone        string `cbor:"z"`
	Spot        bool   `cbor:"o"`
	Address     string `cbor:"a,omitempty"`
	CreatedAtMs int64  `cbor:"t"`
	Up          bool   `cbor:"u,omitempty"` // its agent has sent a heartbeat
	Session     uint64 `cbor:"s,omitempty"` // of the agent; 0 stands for the first
	Draining    bool   `cbor:"d,omitempty"` // gets no new tasks and is returned once it is empty
	Deleting    bool   `cbor:"g,omitempty"` // its deletion was requested: nothing is placed or renewed
}

// Rental is a rental request, written before it is sent. Once answered it lists the machines, which need no
// records of their own until they are up.
type Rental struct {
	Type          string   `cbor:"h"`
	Zone          string   `cbor:"z"`
	Spot          bool     `cbor:"o"`
	Count         int      `cbor:"n"`
	RequestedAtMs int64    `cbor:"t"`
	Machines      []string `cbor:"m,omitempty"`
}

// InitialMachine is the record that stands for each machine of the rental until it has one of its own: a few
// rentals record a whole scale-out.
func (r *Rental) InitialMachine() Machine {
	return Machine{Type: r.Type, Zone: r.Zone, Spot: r.Spot, CreatedAtMs: r.RequestedAtMs}
}
