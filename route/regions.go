package route

import (
	"slices"

	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// MeshPickerOption configures a MeshPicker.
type MeshPickerOption func(*MeshPicker)

// WithRegions makes the picker keep to the regions of rules.
func WithRegions(r mesh.Regions) MeshPickerOption {
	return func(c *MeshPicker) { c.regions = r }
}

// allowed returns the servers in the regions of the request's rule.
func (c *MeshPicker) allowed(all []*schema.MeshServer, q PickRequest) []*schema.MeshServer {
	if len(q.Regions) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(v *schema.MeshServer) bool { return !c.regions.Allow(q.Regions, v.GetDataCentre()) })
}
