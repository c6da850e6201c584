package wire

// Catalog lists machine types.
type Catalog struct {
	Types []MachineType `cbor:"hulls"`
}

// MachineType is one type of the catalog.
type MachineType struct {
	Name           string   `cbor:"sku"`
	CPUs           float64  `cbor:"vcpus"`
	GPUs           float64  `cbor:"cards"`
	MemoryGB       float64  `cbor:"memory_gb"`
	ImageCacheGB   float64  `cbor:"cache_gb"`
	ImageFetchGBps float64  `cbor:"fetch_gb_per_s"`
	Price          float64  `cbor:"rate"`
	SpotPrice      float64  `cbor:"market_price"`
	BootSeconds    float64  `cbor:"boot_s"`
	Zones          []string `cbor:"harbors"`
}

// RentalRequest asks the cloud for machines.
type RentalRequest struct {
	Name        string `cbor:"charter"`
	MachineType string `cbor:"hull"`
	Zone        string `cbor:"harbor"`
	Spot        bool   `cbor:"standby"`
	Count       int    `cbor:"how_many"`
}

// MachineNames names machines: rented, or to be returned.
type MachineNames struct {
	Names []string `cbor:"fleet"`
}

// MachineState is what the cloud says of a machine.
type MachineState string

// States of a listed machine.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	ID          string       `cbor:"id"`
	Address     string       `cbor:"address"`
	MachineType string       `cbor:"hull"`
	Zone        string       `cbor:"harbor"`
	Spot        bool         `cbor:"standby"`
	State       MachineState `cbor:"status"`
	AgeSeconds  float64      `cbor:"held_s"`
}

// MachinePage is a page of machines.
type MachinePage struct {
	Machines []CloudMachine `cbor:"fleet"`
	HasMore  bool           `cbor:"more"`
}

// String is the state as the protocol has it.
func (s MachineState) String() string { return string(s) }
