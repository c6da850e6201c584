package scheduler

import (
	"context"
	"time"

	"sableusher/internal/tuning"
)

// imageHints holds the last responses of the other nodes on which of their machines hold which images. They are used
// only as hints for the choice of machines.
type imageHints struct {
	machinesByImage map[string]map[string]bool
	updatedAt       time.Time
}

// TrackRemoteImages asks the other nodes every tuning.RemoteImagesInterval which machines hold which images, until
// ctx is done. If no node responds, the previous responses are kept.
func (e *Engine) TrackRemoteImages(ctx context.Context) error {
	ticker := time.NewTicker(tuning.RemoteImagesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if images := e.peers.QueryImages(ctx); len(images) > 0 {
			e.mu.Lock()
			e.inventoryCache.remoteImages = imageHints{machinesByImage: images, updatedAt: time.Now()}
			e.mu.Unlock()
		}
	}
}
