package agent

import (
	"testing"

	"sableusher/internal/testrand"
)

func TestMain(m *testing.M) { testrand.Main(m) }
