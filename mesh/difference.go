package mesh

import (
	"google.golang.org/protobuf/proto"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Difference returns the changes between two versions of the configuration: the changed and new rules, the keys of removed
// rules, and everything else of the new version in Head.
func Difference(from, to *schema.MeshConfig) *schema.MeshDifference {
	d := &schema.MeshDifference{Base: from.GetVersion(), Head: &schema.MeshConfig{Version: to.GetVersion(), Revision: to.GetRevision(),
		Limits: to.GetLimits(), Services: to.GetServices(), ServiceLimits: to.GetServiceLimits()}}
	before := make(map[string]*schema.MeshRule, len(from.GetRules()))
	for _, r := range from.GetRules() {
		before[ruleKey(r)] = r
	}
	for _, r := range to.GetRules() {
		key := ruleKey(r)
		if old := before[key]; old == nil || !proto.Equal(old, r) {
			d.Changed = append(d.Changed, r)
		}
		delete(before, key)
	}
	for key := range before {
		d.Removed = append(d.Removed, key)
	}
	return d
}

// Patch applies a difference to the version that it starts from. It fails with CodeDigestMismatch if base is another version.
func Patch(base *schema.MeshConfig, d *schema.MeshDifference) (*schema.MeshConfig, *jaypitch.Error) {
	if base.GetVersion() != d.GetBase() || d.GetHead() == nil {
		return nil, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "received a difference from version %d, but the local configuration has version %d",
			d.GetBase(), base.GetVersion())
	}
	h := d.GetHead()
	out := &schema.MeshConfig{Version: h.GetVersion(), Revision: h.GetRevision(), Limits: h.GetLimits(), Services: h.GetServices(), ServiceLimits: h.GetServiceLimits()}
	changed := make(map[string]*schema.MeshRule, len(d.GetChanged()))
	for _, r := range d.GetChanged() {
		changed[ruleKey(r)] = r
	}
	removed := make(map[string]bool, len(d.GetRemoved()))
	for _, key := range d.GetRemoved() {
		removed[key] = true
	}
	for _, r := range base.GetRules() {
		key := ruleKey(r)
		if n := changed[key]; n != nil {
			r = n
			delete(changed, key)
		}
		if !removed[key] {
			out.Rules = append(out.Rules, r)
		}
	}
	for _, r := range d.GetChanged() {
		if changed[ruleKey(r)] != nil {
			out.Rules = append(out.Rules, r)
		}
	}
	return out, nil
}

// ruleKey returns the key of a rule, unique within one version: its host, prefix and name.
func ruleKey(r *schema.MeshRule) string {
	return r.GetHost() + "\n" + r.GetPrefix() + "\n" + r.GetName()
}
