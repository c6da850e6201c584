package simulation

import "time"

// StartCloudOutage makes the cloud refuse all requests until a time.
func (r *Region) StartCloudOutage(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.outageUntil = until
}

// EnableFastBoot makes machines that are rented before a time boot within two seconds.
func (r *Region) EnableFastBoot(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.fastBootUntil = until
}
