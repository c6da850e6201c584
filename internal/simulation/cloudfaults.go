package simulation

import "time"

// StartCloudOutage makes the cloud refuse everything until a time.
func (r *Region) StartCloudOutage(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.outageUntil = until
}

// BootFast lets machines that are rented until a time be up within two seconds.
func (r *Region) BootFast(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.fastBootUntil = until
}
