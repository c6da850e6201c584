package wire

// Catalog lists the machine types that the cloud rents out.
type Catalog struct {
	Types []MachineType `cbor:"hulls"`
}

// MachineType is one type of the catalog. Prices are the cloud's, per machine and unit of time.
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

// RentalRequest asks the cloud for machines of one type in one zone. Its name is never used for another.
type RentalRequest struct {
	Name        string `cbor:"charter"`
	MachineType string `cbor:"hull"`
	Zone        string `cbor:"harbor"`
	Spot        bool   `cbor:"standby"`
	Count       int    `cbor:"how_many"`
}

// MachineNames names machines: those that were rented, or those to be returned.
type MachineNames struct {
	Names []string `cbor:"fleet"`
}

// MachineState is the state of a machine as the cloud sees it.
type MachineState string

// States of a machine.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// String gives the state as the protocol names it.
func (s MachineState) String() string { return string(s) }

// CloudMachine is a rented machine in the cloud's list.
type CloudMachine struct {
	ID          string       `cbor:"id"`
	Address     string       `cbor:"address"`
	MachineType string       `cbor:"hull"`
	Zone        string       `cbor:"harbor"`
	Spot        bool         `cbor:"standby"`
	State       MachineState `cbor:"status"`
	AgeSeconds  float64      `cbor:"held_s"` // since it was rented
}

// MachinePage is one page of the cloud's list.
type MachinePage struct {
	Machines []CloudMachine `cbor:"fleet"`
	HasMore  bool           `cbor:"more"`
}
