package record

import ()

// Quota grants shares of a team's limit to parts.
type Quota struct {
	Grants map[string]Resources `cbor:"g"`
}
