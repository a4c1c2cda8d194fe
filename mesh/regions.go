package mesh

import (
	"slices"
	"strings"
)

// Regions tells which region a data centre is in.
type Regions struct {
	// Own is the region of this host, OwnDataCentre its data centre.
	Own, OwnDataCentre string
	// ByDataCentre holds the regions of the data centres that the settings name.
	ByDataCentre map[string]string
}

// NewRegions returns the regions of the settings: pairs of a data centre and its region, separated by a colon. Package settings has checked them.
func NewRegions(own, ownDataCentre string, pairs []string) Regions {
	r := Regions{Own: own, OwnDataCentre: ownDataCentre, ByDataCentre: make(map[string]string, len(pairs))}
	for _, p := range pairs {
		if dataCentre, region, ok := strings.Cut(p, ":"); ok {
			r.ByDataCentre[dataCentre] = region
		}
	}
	return r
}

// Allow reports whether servers of a data centre may execute the requests of a rule that allows some regions, or all if it names none. A data
// centre without a region counts as in this host's region only if the settings name no other's, and in no region otherwise.
func (r Regions) Allow(allowed []string, dataCentre string) bool {
	if len(allowed) == 0 {
		return true
	}
	region, ok := r.ByDataCentre[dataCentre]
	if !ok && (dataCentre == r.OwnDataCentre || len(r.ByDataCentre) == 0) {
		region = r.Own
	}
	return region != "" && slices.Contains(allowed, region)
}
