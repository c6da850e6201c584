package wire

// Catalog lists the machine types that the cloud rents out.
type Catalog struct {
	Types []MachineType `cbor:"hulls"`
}

// MachineType is a machine type of the catalog. Price and SpotPrice are per machine and unit of time, in the cloud's
// units.
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

// RentalRequest requests machines of one type in one zone. Name identifies the request: it is never reused for another
// one, so that the request can be repeated safely.
type RentalRequest struct {
	Name        string `cbor:"charter"`
	MachineType string `cbor:"hull"`
	Zone        string `cbor:"harbor"`
	Spot        bool   `cbor:"standby"`
	Count       int    `cbor:"how_many"`
}

// MachineNames lists the names of machines: the rented ones in a response, the ones to delete in a request.
type MachineNames struct {
	Names []string `cbor:"fleet"`
}

// MachineState is the state of a machine as reported by the cloud.
type MachineState string

// States of a machine.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// String returns the state's name in the protocol.
func (s MachineState) String() string { return string(s) }

// CloudMachine is a rented machine in the list returned by the cloud.
type CloudMachine struct {
	ID          string       `cbor:"id"`
	Address     string       `cbor:"address"`
	MachineType string       `cbor:"hull"`
	Zone        string       `cbor:"harbor"`
	Spot        bool         `cbor:"standby"`
	State       MachineState `cbor:"status"`
	AgeSeconds  float64      `cbor:"held_s"` // time since it was rented
}

// MachinePage is one page of the list of rented machines.
type MachinePage struct {
	Machines []CloudMachine `cbor:"fleet"`
	HasMore  bool           `cbor:"more"`
}
