package agent

import "time"

// cachedImage is an image that a machine is expected to have in its cache.
type cachedImage struct {
	lastUsed time.Time
	sizeGB   float64
}

// imageCache models a machine's cache of images, which evicts the least recently used image first.
type imageCache map[string]cachedImage

// use records that an image was used at now. Images that exceed the cache's size, in GB, are evicted; a size of 0
// means no limit. The image that was just used is never evicted.
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

// leastRecentlyUsed returns the least recently used image other than keep, or keep if there is no other.
func (c imageCache) leastRecentlyUsed(keep string) string {
	oldest := keep
	for image, cached := range c {
		if image != keep && (oldest == keep || cached.lastUsed.Before(c[oldest].lastUsed)) {
			oldest = image
		}
	}
	return oldest
}

// MachinesByImage returns the names of this node's machines by the images that they are expected to have cached, for
// the schedulers of this node and of the other nodes.
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

// RecordImageUse records that a machine has just used an image of sizeGB, and evicts the least recently used images
// from the model of its cache of cacheGB.
func (r *Registry) RecordImageUse(machineName, image string, sizeGB, cacheGB float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.machines[machineName]; m != nil {
		m.images.use(image, sizeGB, cacheGB, time.Now())
	}
}
