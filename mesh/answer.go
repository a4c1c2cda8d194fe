package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch/schema"
)

// Answer is what a backend server's response shows about which server is at an address.
type Answer struct {
	Address string
	// Expected is the ID that the request was for.
	Expected string
	// Server is the ID of the server that is there: Expected if it executed the request, otherwise the one that the refusal names. It may be
	// empty if the refusal names none.
	Server string
}

// RecordAnswer records which of the servers whose entries share an address is really there. From then on the table has only that one for new
// requests. This ends with another answer, or when an entry of the address is added or changed in more than its revision, since the address may
// be assigned to another server. It reports whether the table has changed.
//
// It is for entries of other writers that name a server's address, and for entries of servers that ended without removing them.
func (s *Replica) RecordAnswer(a Answer, now time.Time) bool {
	if t := s.Table(); !t.contested[a.Address] || t.answering[a.Address] == a.Server {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.answering[a.Address]
	e := s.servers[a.Server]
	switch {
	case e != nil && e.server.GetAddress() == a.Address:
		s.answering[a.Address] = a.Server
	case before == a.Expected:
		delete(s.answering, a.Address)
	}
	if s.answering[a.Address] == before {
		return false
	}
	s.rebuild(now)
	return true
}

// endAnswers forgets which server answers at the addresses of changed entries.
func (s *Replica) endAnswers(changed []*schema.MeshServer) {
	ids := make(map[string]bool, len(changed))
	for _, v := range changed {
		ids[v.GetId()] = true
		delete(s.answering, v.GetAddress())
	}
	for address, id := range s.answering {
		if ids[id] {
			delete(s.answering, address)
		}
	}
}

// Answering returns the ID of the server that answers at an address which several entries share; empty if that is unknown or the address has
// only one entry.
func (t *Table) Answering(address string) string {
	return t.answering[address]
}

// Contested returns the number of addresses that several entries share, and of those among them whose server has shown which it is.
func (t *Table) Contested() (addresses, answered int) {
	return len(t.contested), len(t.answering)
}

// candidates returns the servers that may get new requests, of those in use: at an address with an answer the one that answers, at others the
// newest of each service that isn't draining. An entry of another service doesn't hide a server, since nothing would be sent to it by which to
// find out. Answering is what is known by address; answers about other servers than those at the address are left out.
func (t *Table) candidates(servers []*schema.MeshServer, answering map[string]string) []*schema.MeshServer {
	atAddress := map[string][]*schema.MeshServer{}
	for _, v := range servers {
		atAddress[v.GetAddress()] = append(atAddress[v.GetAddress()], v)
	}
	var out []*schema.MeshServer
	for address, vs := range atAddress {
		t.byAddress[address] = slices.MaxFunc(vs, t.compareAtAddress)
		if len(vs) == 1 {
			out = appendReady(out, vs[0])
			continue
		}
		if t.contested == nil {
			t.contested, t.answering = map[string]bool{}, map[string]string{}
		}
		t.contested[address] = true
		if i := slices.IndexFunc(vs, func(v *schema.MeshServer) bool { return v.GetId() == answering[address] }); i >= 0 {
			t.answering[address], t.byAddress[address] = vs[i].GetId(), vs[i]
			out = appendReady(out, vs[i])
			continue
		}
		newest := map[string]*schema.MeshServer{}
		for _, v := range vs {
			if other := newest[v.GetService()]; !v.GetDraining() && (other == nil || compareAge(other, v) < 0) {
				newest[v.GetService()] = v
			}
		}
		for _, v := range newest {
			out = append(out, v)
		}
	}
	return out
}

func appendReady(out []*schema.MeshServer, v *schema.MeshServer) []*schema.MeshServer {
	if v.GetDraining() {
		return out
	}
	return append(out, v)
}

// compareAtAddress orders servers by how much their entries count at an address: those of services that the configuration names after the others,
// which another writer may have made, and newer ones after older ones.
func (t *Table) compareAtAddress(a, b *schema.MeshServer) int {
	if named := t.Names(a.GetService()); named != t.Names(b.GetService()) {
		if named {
			return 1
		}
		return -1
	}
	return compareAge(a, b)
}

// compareAge orders entries from older to newer ones.
func compareAge(a, b *schema.MeshServer) int {
	return cmp.Or(cmp.Compare(a.GetRevision(), b.GetRevision()), cmp.Compare(a.GetId(), b.GetId()))
}
