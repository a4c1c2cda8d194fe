package idempotency

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the rapid tests. The flag -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
