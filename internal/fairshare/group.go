package fairshare

import "fmt"

// GroupKind is the property that the jobs of a Group share.
type GroupKind int

// The kinds of groups.
const (
	ClassGroup GroupKind = iota
	TeamGroup
)

// String returns the kind's name for logs.
func (k GroupKind) String() string {
	switch k {
	case ClassGroup:
		return "class"
	case TeamGroup:
		return "team"
	default:
		return fmt.Sprintf("GroupKind(%d)", int(k))
	}
}

// Group identifies the jobs of a class or of a team. The share of served tasks is counted by group.
type Group struct {
	Kind GroupKind
	Name string
}

// Class returns the group of a job class.
func Class(name string) Group { return Group{Kind: ClassGroup, Name: name} }

// Team returns the group of a team.
func Team(name string) Group { return Group{Kind: TeamGroup, Name: name} }
