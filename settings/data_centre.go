package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/ini"
	"github.com/jaypitch/jaypitch/schema"
)

// Host is an entry of a host list.
type Host struct {
	Name       string
	DataCentre string
	Service    string
	// Address is the peer address of the host's proxy.
	Address string
	// Draining is true if the host takes no new requests (state "leaving" in the host list).
	Draining bool
}

// DataCentre is the host list of one data centre. It is immutable once built.
type DataCentre struct {
	Name     string
	Revision int64
	Digest   jaypitch.Digest
	Hosts    map[string]*Host
	// live maps a service to its hosts that aren't draining, ordered by name. A service whose hosts are the same
	// as in the previous revision of the list shares its slice with it; sameLiveHosts relies on this.
	live map[string][]*Host
}

// HostDocument is a parsed host list. It indexes sections by their text, so that the next revision parses only those that changed.
type HostDocument struct {
	Hosts    []*schema.HostSection
	sections map[string]*schema.HostSection
}

// multilineMarkers begin or continue a multi-line value, which may contain a line that looks like a section header.
// A text with one of them can't be split into sections before parsing.
var multilineMarkers = [][]byte{[]byte(`"""`), []byte("`"), []byte("\\\n"), []byte("\\\r")}

// ParseHosts parses the host list of a data centre. File names the text in problems.
func ParseHosts(file string, text []byte) (*HostDocument, ini.Problems) {
	return parseHosts(file, text, nil)
}

// parseHosts parses a host list. Sections whose text is identical in the previous list are reused from it.
func parseHosts(file string, text []byte, previous *HostDocument) (*HostDocument, ini.Problems) {
	d := &HostDocument{sections: map[string]*schema.HostSection{}}
	unparsed := text
	if previous != nil && len(text) <= jaypitch.MaxDocumentBytes && !hasMultiline(text) {
		unparsed = d.reuseSections(text, previous)
	}
	m := &schema.HostSettings{}
	if problems := ini.Decode(file, unparsed, m); len(problems) > 0 {
		return nil, problems
	}
	d.indexSections(unparsed, m)
	d.Hosts = append(d.Hosts, m.GetHost()...)
	if problems := d.check(file); len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}

// reuseSections copies the sections that the previous list contains and returns the text of the others.
func (d *HostDocument) reuseSections(text []byte, previous *HostDocument) []byte {
	var unparsed []byte
	for _, c := range splitSections(text) {
		h := previous.sections[string(c)]
		if h == nil {
			unparsed = append(unparsed, c...)
			continue
		}
		d.sections[string(c)] = h
		d.Hosts = append(d.Hosts, h)
	}
	return unparsed
}

// indexSections indexes the sections of a parsed text by their text, for reuse by the next revision.
func (d *HostDocument) indexSections(text []byte, m *schema.HostSettings) {
	if hasMultiline(text) {
		return
	}
	byName := map[string]*schema.HostSection{}
	for _, h := range m.GetHost() {
		byName[h.GetName()] = h
	}
	for _, c := range splitSections(text) {
		head, _, _ := bytes.Cut(c, []byte("]"))
		name, ok := bytes.CutPrefix(head, []byte("[host "))
		if h := byName[string(name)]; ok && h != nil {
			d.sections[string(c)] = h
		}
	}
}

// check reports hosts that occur twice and addresses that two hosts share.
func (d *HostDocument) check(file string) ini.Problems {
	var problems ini.Problems
	names := make(map[string]bool, len(d.Hosts))
	addresses := make(map[string]string, len(d.Hosts))
	for _, h := range d.Hosts {
		if names[h.GetName()] {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeDuplicate, File: file, Section: "host " + h.GetName(), Reason: "the section occurs twice"})
		}
		names[h.GetName()] = true
		if other, ok := addresses[h.GetAddress()]; ok {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeDuplicate, File: file, Section: "host " + h.GetName(), Key: "address",
				Reason: fmt.Sprintf("address %s is already used by host %q", h.GetAddress(), other)})
		}
		addresses[h.GetAddress()] = h.GetName()
	}
	return problems
}

// newDataCentre builds a data centre from a host list. Equal hosts and slices of hosts are shared with the previous one, which may be nil.
func newDataCentre(e *Entry, d *HostDocument, previous *DataCentre) *DataCentre {
	c := &DataCentre{Name: jaypitch.DataCentreOfKey(e.Document.Key), Revision: e.Document.Revision, Digest: e.Document.Digest,
		Hosts: make(map[string]*Host, len(d.Hosts)), live: map[string][]*Host{}}
	for _, s := range d.Hosts {
		h := &Host{Name: s.GetName(), DataCentre: c.Name, Service: s.GetService(), Address: s.GetAddress(), Draining: s.GetState() == "leaving"}
		if previous != nil {
			if old := previous.Hosts[h.Name]; old != nil && *old == *h {
				h = old
			}
		}
		c.Hosts[h.Name] = h
		if !h.Draining {
			c.live[h.Service] = append(c.live[h.Service], h)
		}
	}
	for service, hosts := range c.live {
		slices.SortFunc(hosts, func(a, b *Host) int { return strings.Compare(a.Name, b.Name) })
		if previous != nil && slices.Equal(hosts, previous.live[service]) {
			c.live[service] = previous.live[service]
		}
	}
	return c
}

// sameLiveHosts reports whether two data centres have the same live hosts of a service. Either may be nil. It compares the identity
// of the slices, not their content, since newDataCentre shares a slice while the hosts are equal.
func sameLiveHosts(a, b *DataCentre, service string) bool {
	var x, y []*Host
	if a != nil {
		x = a.live[service]
	}
	if b != nil {
		y = b.live[service]
	}
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

func hasMultiline(text []byte) bool {
	for _, m := range multilineMarkers {
		if bytes.Contains(text, m) {
			return true
		}
	}
	return false
}
