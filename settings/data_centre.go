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

// Host is one host of the host list.
type Host struct {
	Name       string
	DataCentre string
	Service    string
	Address    string
	Draining   bool
}

// DataCentre is the host list of one data centre. It is never changed once built.
type DataCentre struct {
	Name     string
	Revision int64
	Digest   jaypitch.Digest
	Hosts    map[string]*Host
	// live holds the hosts that take new work by service, ordered by name. A service whose hosts are the same
	// as in the centre before keeps its slice.
	live map[string][]*Host
}

// HostDocument is a parsed host list. Sections that stand in the next version too are not parsed again.
type HostDocument struct {
	Hosts    []*schema.HostSection
	sections map[string]*schema.HostSection
}

// multiline are the marks after which a value may hold a line that looks like a section.
var multiline = [][]byte{[]byte(`"""`), []byte("`"), []byte("\\\n"), []byte("\\\r")}

// ParseHosts reads the host list of a data centre.
func ParseHosts(file string, text []byte) (*HostDocument, ini.Problems) {
	return parseHosts(file, text, nil)
}

// parseHosts reads a host list; sections that the earlier one holds to the letter are taken from there.
func parseHosts(file string, text []byte, earlier *HostDocument) (*HostDocument, ini.Problems) {
	d := &HostDocument{sections: map[string]*schema.HostSection{}}
	fresh := text
	if earlier != nil && len(text) <= jaypitch.MaxDocumentBytes && !hasMultiline(text) {
		fresh = d.reuse(text, earlier)
	}
	m := &schema.HostSettings{}
	if problems := ini.Decode(file, fresh, m); len(problems) > 0 {
		return nil, problems
	}
	d.remember(fresh, m)
	d.Hosts = append(d.Hosts, m.GetHost()...)
	if problems := d.check(file); len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}

// reuse takes known sections over and returns the text of the others.
func (d *HostDocument) reuse(text []byte, earlier *HostDocument) []byte {
	var fresh []byte
	for _, c := range chunks(text) {
		h := earlier.sections[string(c)]
		if h == nil {
			fresh = append(fresh, c...)
			continue
		}
		d.sections[string(c)] = h
		d.Hosts = append(d.Hosts, h)
	}
	return fresh
}

// remember keeps the sections of a parsed text by their letters.
func (d *HostDocument) remember(text []byte, m *schema.HostSettings) {
	if hasMultiline(text) {
		return
	}
	byName := map[string]*schema.HostSection{}
	for _, h := range m.GetHost() {
		byName[h.GetName()] = h
	}
	for _, c := range chunks(text) {
		head, _, _ := bytes.Cut(c, []byte("]"))
		name, ok := bytes.CutPrefix(head, []byte("[host "))
		if h := byName[string(name)]; ok && h != nil {
			d.sections[string(c)] = h
		}
	}
}

// check reports hosts that stand twice, and addresses that two hosts share.
func (d *HostDocument) check(file string) ini.Problems {
	var problems ini.Problems
	names := make(map[string]bool, len(d.Hosts))
	addresses := make(map[string]string, len(d.Hosts))
	for _, h := range d.Hosts {
		if names[h.GetName()] {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeDuplicate, File: file, Section: "host " + h.GetName(), Reason: "the section stands twice"})
		}
		names[h.GetName()] = true
		if other, ok := addresses[h.GetAddress()]; ok {
			problems = append(problems, ini.Problem{Code: jaypitch.CodeDuplicate, File: file, Section: "host " + h.GetName(), Key: "address",
				Reason: fmt.Sprintf("%s is the address of host %q too", h.GetAddress(), other)})
		}
		addresses[h.GetAddress()] = h.GetName()
	}
	return problems
}

// newCentre makes the centre of a document; hosts and slices that are the same in the one before are shared.
func newCentre(e *Entry, d *HostDocument, before *DataCentre) *DataCentre {
	c := &DataCentre{Name: jaypitch.DataCentreOfKey(e.Document.Key), Revision: e.Document.Revision, Digest: e.Document.Digest,
		Hosts: make(map[string]*Host, len(d.Hosts)), live: map[string][]*Host{}}
	for _, s := range d.Hosts {
		h := &Host{Name: s.GetName(), DataCentre: c.Name, Service: s.GetService(), Address: s.GetAddress(), Draining: s.GetState() == "leaving"}
		if before != nil {
			if old := before.Hosts[h.Name]; old != nil && *old == *h {
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
		if before != nil && slices.Equal(hosts, before.live[service]) {
			c.live[service] = before.live[service]
		}
	}
	return c
}

// sameLive says whether two centres share the hosts of a service.
func sameLive(a, b *DataCentre, service string) bool {
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
	for _, m := range multiline {
		if bytes.Contains(text, m) {
			return true
		}
	}
	return false
}
