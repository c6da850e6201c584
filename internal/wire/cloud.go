package wire

// Catalog lists machine types.
type Catalog struct {
	Types []MachineType `cbor:"hulls"`
}

// MachineType is one type of the catalog.
type MachineType struct {
	Name      string   `cbor:"sku"`
	CPUs      float64  `cbor:"vcpus"`
	GPUs      float64  `cbor:"cards"`
	MemoryGB  float64  `cbor:"memory_gb"`
	CacheGB   float64  `cbor:"cache_gb"`
	FetchGBps float64  `cbor:"fetch_gb_per_s"`
	Price     float64  `cbor:"rate"`
	SpotPrice float64  `cbor:"market_price"`
	BootS     float64  `cbor:"boot_s"`
	Zones     []string `cbor:"harbors"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Name  string `cbor:"charter"`
	Type  string `cbor:"hull"`
	Zone  string `cbor:"harbor"`
	Spot  bool   `cbor:"standby"`
	Count int    `cbor:"how_many"`
}

// Fleet names machines: rented, or to be returned.
type Fleet struct {
	Machines []string `cbor:"fleet"`
}

// States of a listed machine.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Listed is a machine in the cloud's list.
type Listed struct {
	ID      string  `cbor:"id"`
	Address string  `cbor:"address"`
	Type    string  `cbor:"hull"`
	Zone    string  `cbor:"harbor"`
	Spot    bool    `cbor:"standby"`
	State   string  `cbor:"status"`
	AgeS    float64 `cbor:"held_s"`
}

// List is a page of machines.
type List struct {
	Machines []Listed `cbor:"fleet"`
	More     bool     `cbor:"more"`
}
