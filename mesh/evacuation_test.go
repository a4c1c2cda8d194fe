package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// evacuationCase is a sequence of updates and what must be in force after it.
type evacuationCase struct {
	updates []jaypitch.MeshUpdate
	// after is how long after the last update the state is checked.
	after     time.Duration
	evacuated bool
}

func evacuate(revision int64) *schema.MeshEvacuation {
	return &schema.MeshEvacuation{DataCentre: "z", Revision: revision}
}

func endEvacuation(revision int64) *schema.MeshEvacuation {
	return &schema.MeshEvacuation{DataCentre: "z", Gone: true, Revision: revision}
}

func full(era, revision int64, e ...*schema.MeshEvacuation) jaypitch.MeshUpdate {
	return jaypitch.MeshUpdate{Full: true, Era: jaypitch.Era{Number: era, Known: true}, Revision: revision, Evacuations: e}
}

func partial(era, revision int64, e ...*schema.MeshEvacuation) jaypitch.MeshUpdate {
	u := full(era, revision, e...)
	u.Full = false
	return u
}

// TestEvacuationForgotten guards against an evacuation that ends though the store holds its key, or stays though the key is gone.
func TestEvacuationForgotten(t *testing.T) {
	for name, c := range map[string]evacuationCase{
		"a full read with the key": {[]jaypitch.MeshUpdate{full(1, 5, evacuate(4))}, 0, true},
		"a change":                 {[]jaypitch.MeshUpdate{full(1, 5), partial(1, 6, evacuate(6))}, 0, true},
		"taken back":               {[]jaypitch.MeshUpdate{full(1, 5, evacuate(4)), partial(1, 6, endEvacuation(6))}, 0, false},
		"an older request after it was taken back":    {[]jaypitch.MeshUpdate{full(1, 5), partial(1, 7, endEvacuation(7)), partial(1, 7, evacuate(6))}, 0, false},
		"requested, taken back and requested again":   {[]jaypitch.MeshUpdate{full(1, 5), partial(1, 8, evacuate(6), endEvacuation(7), evacuate(8))}, 0, true},
		"a full read without the key":                 {[]jaypitch.MeshUpdate{full(1, 5, evacuate(4)), full(1, 6)}, 0, false},
		"a full read from before the request":         {[]jaypitch.MeshUpdate{full(1, 5), partial(1, 8, evacuate(8)), full(1, 7)}, 0, true},
		"a key whose value can't be decoded any more": {[]jaypitch.MeshUpdate{full(1, 5, evacuate(4)), full(1, 6, &schema.MeshEvacuation{DataCentre: "z"})}, 0, true},
		"a key whose value never could":               {[]jaypitch.MeshUpdate{full(1, 6, &schema.MeshEvacuation{DataCentre: "z"})}, 0, false},
		"a copy of the store without the key":         {[]jaypitch.MeshUpdate{full(1, 90, evacuate(80)), full(2, 50)}, evacuationHold - 1, true},
		"which nobody writes again":                   {[]jaypitch.MeshUpdate{full(1, 90, evacuate(80)), full(2, 50), full(2, 55)}, evacuationHold, false},
		"which is written again":                      {[]jaypitch.MeshUpdate{full(1, 90, evacuate(80)), full(2, 50), partial(2, 51, evacuate(51))}, evacuationHold, true},
		"which is written again and taken back":       {[]jaypitch.MeshUpdate{full(1, 90, evacuate(80)), full(2, 50), partial(2, 52, evacuate(51), endEvacuation(52))}, 0, false},
		"a copy with a key that was taken back":       {[]jaypitch.MeshUpdate{full(1, 90, evacuate(40)), partial(1, 95, endEvacuation(95)), full(2, 50, evacuate(40))}, 0, true},
		"a late update of the era before":             {[]jaypitch.MeshUpdate{full(2, 50, evacuate(40)), partial(1, 95, endEvacuation(95))}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewReplica()
			v := server("a", "1.1.1.1:1", 1)
			v.DataCentre = "z"
			s.Merge(jaypitch.MeshUpdate{Servers: []*schema.MeshServer{v}}, now)
			for _, u := range c.updates {
				u.Servers = []*schema.MeshServer{v}
				s.Merge(u, now)
			}
			s.Expire(now.Add(c.after))
			is.Equal(s.Table().Evacuated("z"), c.evacuated)
			is.Equal(s.Table().AllEvacuated("x"), c.evacuated)
			is.Equal(s.Table().Services["x"] == nil, c.evacuated)
			is.True(s.Table().HasServers())
			is.True(s.Table().Servers["a"] != nil)
		})
	}
}

// TestEvacuationOfOlderPeer guards against a response without evacuations of a sidecar that doesn't know of them at all.
func TestEvacuationOfOlderPeer(t *testing.T) {
	is := is.New(t)
	a, older := NewReplica(), NewReplica()
	a.Merge(full(1, 5, evacuate(4)), now)
	older.Merge(full(1, 9), now)
	for _, p := range []jaypitch.Position{{}, a.Position()} {
		response := older.ChangesSince(p, 0)
		response.ListsEvacuations = false
		u, e := a.UpdateFrom(response)
		is.True(e == nil)
		a.Merge(u, now)
		is.True(a.Table().Evacuated("z"))
		is.Equal(a.Revision(), int64(5))
	}
}

// evacuationStore is a plain reference of the store's evacuations, in order of revision.
type evacuationStore struct{ changes []*schema.MeshEvacuation }

// at returns whether a data centre is evacuated at a revision.
func (s *evacuationStore) at(dataCentre string, revision int64) bool {
	for i := revision - 1; i >= 0; i-- {
		if s.changes[i].GetDataCentre() == dataCentre {
			return !s.changes[i].GetGone()
		}
	}
	return false
}

// update returns a full read, or the changes after a revision.
func (s *evacuationStore) update(isFull bool, after int64) jaypitch.MeshUpdate {
	revision := int64(len(s.changes))
	if !isFull {
		return partial(1, revision, s.changes[after:]...)
	}
	u := full(1, revision)
	for i, c := range s.changes {
		if s.at(c.GetDataCentre(), revision) && s.at(c.GetDataCentre(), int64(i)+1) {
			u.Evacuations = append(u.Evacuations, c)
		}
	}
	return u
}

// TestReplicasFollowEvacuations runs random interleavings of requests, their ends, full reads, watches, polls and restarts, with updates that come
// late or twice. It guards against a replica that differs from what the store held at the replica's position or later.
func TestReplicasFollowEvacuations(t *testing.T) {
	random := rand.New(rand.NewPCG(20261206, 0))
	store := &evacuationStore{}
	replicas := []*Replica{NewReplica(), NewReplica(), NewReplica()}
	type late struct {
		to *Replica
		u  jaypitch.MeshUpdate
	}
	var pending []late
	clock := now
	for step := range 20000 {
		r := replicas[random.IntN(len(replicas))]
		switch random.IntN(8) {
		case 0:
			name := fmt.Sprintf("z%d", random.IntN(3))
			store.changes = append(store.changes, &schema.MeshEvacuation{DataCentre: name, Gone: random.IntN(2) == 0, Revision: int64(len(store.changes)) + 1})
		case 1:
			pending = append(pending, late{r, store.update(true, 0)})
		case 2:
			if r.Revision() > 0 {
				pending = append(pending, late{r, store.update(false, r.Revision())})
			}
		case 3, 4:
			if u, e := r.UpdateFrom(replicas[random.IntN(len(replicas))].ChangesSince(r.Position(), 0)); e == nil && u.Revision > 0 {
				pending = append(pending, late{r, u})
			}
		case 5:
			clock = clock.Add(time.Duration(random.IntN(60)) * time.Second)
			r.Expire(clock)
		default:
			if len(pending) == 0 {
				continue
			}
			i := random.IntN(len(pending))
			if p := pending[i]; p.u.Position().Compare(p.to.Position()) >= 0 {
				p.to.Merge(p.u, clock)
			}
			if random.IntN(4) > 0 {
				pending = append(pending[:i], pending[i+1:]...)
			}
		}
		for i, r := range replicas {
			for z := range 3 {
				name := fmt.Sprintf("z%d", z)
				revision := max(r.Revision(), r.evacuations[name].revision())
				if r.Revision() > 0 && r.Table().Evacuated(name) != store.at(name, revision) {
					t.Fatalf("step %d: replica %d at revision %d has %s evacuated: %t", step, i, revision, name, r.Table().Evacuated(name))
				}
			}
		}
	}
}
