package sidecar

import (
	"testing"

	"github.com/matryer/is"
)

// TestFewSidecarsRequestDuringOutage guards against a fleet that overloads a store that is down with requests.
func TestFewSidecarsRequestDuringOutage(t *testing.T) {
	is := is.New(t)
	is.Equal(storeRequesters(0), float64(expectedStoreRequesters))
	is.Equal(storeRequesters(outageFailures-1), float64(expectedStoreRequesters))
	is.Equal(storeRequesters(outageFailures), float64(expectedStoreRequestersInOutage))
}
