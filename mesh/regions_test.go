package mesh

import (
	"testing"

	"github.com/matryer/is"
)

// TestRequestLeavesItsRegions guards against a server outside of the regions of a rule.
func TestRequestLeavesItsRegions(t *testing.T) {
	pairs := []string{"cebu:visayas", "iloilo:visayas", "davao:mindanao"}
	for name, c := range map[string]struct {
		own        string
		pairs      []string
		allowed    []string
		dataCentre string
		want       bool
	}{
		"a rule without regions":                       {"visayas", pairs, nil, "davao", true},
		"a rule without regions, and none configured":  {"", nil, nil, "davao", true},
		"a region that is allowed":                     {"visayas", pairs, []string{"visayas"}, "iloilo", true},
		"a region that isn't":                          {"visayas", pairs, []string{"visayas"}, "davao", false},
		"one of several":                               {"visayas", pairs, []string{"luzon", "mindanao"}, "davao", true},
		"another host's region only":                   {"visayas", pairs, []string{"mindanao"}, "cebu", false},
		"a data centre that the settings don't name":   {"visayas", pairs, []string{"visayas"}, "bohol", false},
		"this host's, which the settings don't name":   {"visayas", pairs, []string{"visayas"}, "home", true},
		"this host's, with a region of its own":        {"visayas", append(pairs, "home:luzon"), []string{"visayas"}, "home", false},
		"only this host's region is configured":        {"visayas", nil, []string{"visayas"}, "davao", true},
		"only this host's, and another one is allowed": {"visayas", nil, []string{"luzon"}, "davao", false},
		"none is configured":                           {"", nil, []string{"visayas"}, "cebu", false},
		"no name, which is no region":                  {"", nil, []string{""}, "cebu", false},
		"letters of the other case":                    {"visayas", pairs, []string{"Visayas"}, "cebu", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(NewRegions(c.own, "home", c.pairs).Allow(c.allowed, c.dataCentre), c.want)
		})
	}
}
