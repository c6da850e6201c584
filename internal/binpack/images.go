package binpack

import (
	"iter"
	"time"
)

// HintSource says whose machines a set of image hints describes.
type HintSource int

// The sources of image hints.
const (
	// OwnMachines are those of the caller's own shards.
	OwnMachines HintSource = iota
	// OtherMachines are those of all other shards.
	OtherMachines

	hintSources
)

// imageIndex numbers the images and keeps which machines with capacity hold them.
type imageIndex struct {
	ids            map[string]uint // positions in the machines' bit sets
	hintsUpdatedAt [hintSources]time.Time
	holders        map[string][][]*MachineInfo // by image and shard, as first asked for in this cycle
}

func newImageIndex() imageIndex { return imageIndex{ids: map[string]uint{}} }

// id returns an image's position in the machines' bit sets.
func (x *imageIndex) id(image string) uint {
	id, ok := x.ids[image]
	if !ok {
		id = uint(len(x.ids))
		x.ids[image] = id
	}
	return id
}

// HintsUpdatedAt returns the time that SetImageHints was last given for a source.
func (inv *Inventory) HintsUpdatedAt(source HintSource) time.Time {
	return inv.images.hintsUpdatedAt[source]
}

// SetImageHints replaces the hints of a source, as pairs of image and machine that is believed to
// hold it. A hint only chooses among machines with free capacity.
func (inv *Inventory) SetImageHints(source HintSource, at time.Time, hints iter.Seq2[string, string]) {
	inv.images.hintsUpdatedAt[source] = at
	owned := source == OwnMachines
	for _, info := range inv.machines {
		if info.Owned == owned {
			info.hintedImages.ClearAll()
		}
	}
	for image, machine := range hints {
		if info := inv.machines[machine]; info != nil && info.Owned == owned {
			info.hintedImages.Set(inv.images.id(image))
		}
	}
}

// HasImage reports whether a machine is believed to hold an image: one of its tasks is bound there,
// or was, as the hints say.
func (inv *Inventory) HasImage(image string, info *MachineInfo) bool {
	id, ok := inv.images.ids[image]
	return ok && (info.boundImages.Test(id) || info.hintedImages.Test(id))
}

// ImageHolders returns the feasible machines of a shard that held an image when this cycle first
// asked. The list is the inventory's own.
func (inv *Inventory) ImageHolders(image string, shard int) []*MachineInfo {
	return inv.imageHoldersByShard(image)[shard]
}

func (inv *Inventory) imageHoldersByShard(image string) [][]*MachineInfo {
	holders, ok := inv.images.holders[image]
	if ok {
		return holders
	}
	holders = make([][]*MachineInfo, len(inv.feasibleByShard))
	for shard, feasible := range inv.feasibleByShard {
		for _, info := range feasible {
			if inv.HasImage(image, info) {
				holders[shard] = append(holders[shard], info)
			}
		}
	}
	inv.images.holders[image] = holders
	return holders
}
