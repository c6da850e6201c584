package schemaversion

import (
	"testing"

	"sableusher/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }
