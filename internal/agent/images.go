package agent

import "time"

// cachedImage is an image that a machine is believed to hold.
type cachedImage struct {
	lastUsed time.Time
	sizeGB   float64
}

// imageCache models a machine's cache of images: it evicts those used longest ago.
type imageCache map[string]cachedImage

// use notes that an image is held now. Images beyond the cache's size, in GB, are evicted; 0 is no limit. The
// image just used is never evicted.
func (c imageCache) use(image string, sizeGB, cacheGB float64, now time.Time) {
	c[image] = cachedImage{now, sizeGB}
	if cacheGB <= 0 {
		return
	}
	totalGB := 0.0
	for _, cached := range c {
		totalGB += cached.sizeGB
	}
	for totalGB > cacheGB && len(c) > 1 {
		evicted := c.leastRecentlyUsed(image)
		totalGB -= c[evicted].sizeGB
		delete(c, evicted)
	}
}

// leastRecentlyUsed names the image used longest ago other than the one to keep.
func (c imageCache) leastRecentlyUsed(keep string) string {
	oldest := keep
	for image, cached := range c {
		if image != keep && (oldest == keep || cached.lastUsed.Before(c[oldest].lastUsed)) {
			oldest = image
		}
	}
	return oldest
}

// MachinesByImage gives the machines of this node by the images that they are believed to hold, for the
// schedulers here and on the other nodes.
func (r *Registry) MachinesByImage() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]string{}
	for name, m := range r.machines {
		for image := range m.images {
			out[image] = append(out[image], name)
		}
	}
	return out
}

// RecordImageUse records that a machine has just used an image of some size. Its cache of cacheGB keeps the
// images used last.
func (r *Registry) RecordImageUse(machineName, image string, sizeGB, cacheGB float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.machines[machineName]; m != nil {
		m.images.use(image, sizeGB, cacheGB, time.Now())
	}
}
