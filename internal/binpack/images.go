package binpack

import (
	"iter"
	"time"
)

// HintSource identifies the machines that a set of image hints describes. An image hint states that
// a machine is expected to hold an image.
type HintSource int

// The sources of image hints.
const (
	// OwnMachines are the machines of the caller's own shards.
	OwnMachines HintSource = iota
	// OtherMachines are the machines of all other shards.
	OtherMachines

	hintSources // the number of sources
)

// imageIndex assigns numbers to images and caches which feasible machines hold them.
type imageIndex struct {
	ids            map[string]uint // position in the machines' bit sets by image
	hintsUpdatedAt [hintSources]time.Time
	holders        map[string][][]*MachineInfo // by image and shard, as of the first lookup in this cycle
}

func newImageIndex() imageIndex { return imageIndex{ids: map[string]uint{}} }

// id returns the position of an image in the machines' bit sets, and assigns one to a new image.
func (x *imageIndex) id(image string) uint {
	id, ok := x.ids[image]
	if !ok {
		id = uint(len(x.ids))
		x.ids[image] = id
	}
	return id
}

// HintsUpdatedAt returns the time passed to the last SetImageHints of a source, or the zero time.
func (inv *Inventory) HintsUpdatedAt(source HintSource) time.Time {
	return inv.images.hintsUpdatedAt[source]
}

// SetImageHints replaces the hints of a source; hints yields pairs of an image and the name of a
// machine that is expected to hold it. Hints of machines that don't belong to the source are ignored.
// A hint only affects the choice among machines with free capacity.
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

// HasImage reports whether a machine is expected to hold an image: a task that uses the image is
// bound to the machine, or a hint names the machine.
func (inv *Inventory) HasImage(image string, info *MachineInfo) bool {
	id, ok := inv.images.ids[image]
	return ok && (info.boundImages.Test(id) || info.hintedImages.Test(id))
}

// ImageHolders returns the feasible machines of a shard that are expected to hold an image, as of
// the first lookup of that image in this cycle. The inventory owns the list; callers must not change
// it.
func (inv *Inventory) ImageHolders(image string, shard int) []*MachineInfo {
	return inv.imageHoldersByShard(image)[shard]
}

// imageHoldersByShard returns the feasible machines that are expected to hold an image, by shard.
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
