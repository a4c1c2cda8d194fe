package settings

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of generated cases. The flag -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
