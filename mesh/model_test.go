package mesh

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

var (
	modelSteps = flag.Int("model.steps", 5000, "steps of TestReplicasFollowStore")
	modelSeed  = flag.Uint64("model.seed", 20261205, "seed of TestReplicasFollowStore")
)

// modelStore is a plain reference of the store: every change of a server, in order of revision.
type modelStore struct {
	changes []*schema.MeshServer
	oldest  int64
	version int64
}

// modelMessage is an update on its way to a replica.
type modelMessage struct {
	to     *Replica
	update func() (jaypitch.MeshUpdate, *jaypitch.Error)
}

// replicaModel runs some replicas of one store, with messages that are late, come twice, or get lost.
type replicaModel struct {
	random   *rand.Rand
	store    *modelStore
	replicas []*Replica
	pending  []modelMessage
	now      time.Time
	log      []string
}

const (
	modelReplicas = 5
	modelServers  = 12
)

func (s *modelStore) revision() int64 {
	return int64(len(s.changes))
}

// at returns the latest change of a server up to a revision; nil if there is none.
func (s *modelStore) at(id string, revision int64) *schema.MeshServer {
	for i := revision - 1; i >= 0; i-- {
		if s.changes[i].GetId() == id {
			return s.changes[i]
		}
	}
	return nil
}

func (s *modelStore) config() *schema.MeshConfig {
	return config(s.version, fmt.Sprintf("/p%d/", s.version))
}

func modelID(i int) string { return fmt.Sprintf("i-%02d", i) }

// change writes or removes a random server, or writes the next version of the configuration.
func (m *replicaModel) change() {
	s := m.store
	if m.random.IntN(10) == 0 {
		s.version++
		return
	}
	id := modelID(m.random.IntN(modelServers))
	v := server(id, "10.0.0."+id[2:]+":80", s.revision()+1)
	v.Draining = m.random.IntN(4) == 0
	if m.random.IntN(3) == 0 {
		v = tombstone(id, s.revision()+1)
	}
	s.changes = append(s.changes, v)
}

// read returns all entries in two pages, between which the store may change.
func (m *replicaModel) read() jaypitch.MeshUpdate {
	s := m.store
	u := jaypitch.MeshUpdate{Full: true, Revision: s.revision(), Config: s.config()}
	for i := range modelServers {
		if i == modelServers/2 {
			for range m.random.IntN(4) {
				m.change()
			}
		}
		if v := s.at(modelID(i), s.revision()); v != nil && !v.GetGone() {
			u.Servers = append(u.Servers, v)
		}
	}
	return u
}

// watch returns the changes after a revision, or false if the store no longer has them.
func (m *replicaModel) watch(after int64) (jaypitch.MeshUpdate, bool) {
	if after < m.store.oldest || after == 0 {
		return jaypitch.MeshUpdate{}, false
	}
	return jaypitch.MeshUpdate{Revision: m.store.revision(), Config: m.store.config(), Servers: m.store.changes[after:]}, true
}

func (m *replicaModel) send(to *Replica, update func() (jaypitch.MeshUpdate, *jaypitch.Error)) {
	m.pending = append(m.pending, modelMessage{to, update})
}

func (m *replicaModel) sendUpdate(to *Replica, u jaypitch.MeshUpdate) {
	m.send(to, func() (jaypitch.MeshUpdate, *jaypitch.Error) { return u, nil })
}

// deliver merges a random message as a sidecar does. It may come once more later.
func (m *replicaModel) deliver() {
	if len(m.pending) == 0 {
		return
	}
	i := m.random.IntN(len(m.pending))
	message := m.pending[i]
	if m.random.IntN(5) > 0 {
		m.pending = append(m.pending[:i], m.pending[i+1:]...)
	}
	u, e := message.update()
	if e != nil || u.Revision == 0 || u.Position().Compare(message.to.Position()) < 0 {
		return
	}
	message.to.Merge(u, m.now)
}

// step does one random thing and returns its name.
func (m *replicaModel) step() string {
	r := m.replicas[m.random.IntN(modelReplicas)]
	switch m.random.IntN(16) {
	case 0, 1, 2:
		m.change()
		return "change"
	case 3:
		m.sendUpdate(r, m.read())
		return "read"
	case 4, 5:
		if u, ok := m.watch(r.Position().Revision); ok {
			m.sendUpdate(r, u)
		}
		return "watch"
	case 6, 7, 8:
		response := proto.CloneOf(m.replicas[m.random.IntN(modelReplicas)].ChangesSince(r.Position(), r.Table().Version))
		m.send(r, func() (jaypitch.MeshUpdate, *jaypitch.Error) { return r.UpdateFrom(response) })
		return "poll"
	case 9:
		m.restart(r)
		return "restart"
	case 10:
		m.store.oldest = max(m.store.oldest, m.store.revision()-int64(m.random.IntN(30)))
		return "compact"
	case 11:
		m.now = m.now.Add(time.Duration(m.random.IntN(60)) * time.Second)
		for _, r := range m.replicas {
			r.Expire(m.now)
		}
		return "time passes"
	}
	m.deliver()
	return "deliver"
}

// restart replaces a replica by an empty one. Messages to the process of before are lost.
func (m *replicaModel) restart(r *Replica) {
	for i, o := range m.replicas {
		if o == r {
			m.replicas[i] = NewReplica()
		}
	}
	kept := m.pending[:0]
	for _, p := range m.pending {
		if p.to != r {
			kept = append(kept, p)
		}
	}
	m.pending = kept
}

// check compares a replica with what the store said up to the replica's revision. Entries that are newer than that may be there already.
func (m *replicaModel) check(r *Replica) error {
	revision := r.Position().Revision
	if revision == 0 {
		return nil
	}
	t := r.Table()
	for i := range modelServers {
		id := modelID(i)
		said, held := m.store.at(id, revision), (*schema.MeshServer)(nil)
		if e := r.servers[id]; e != nil && !e.server.GetGone() {
			held = e.server
		}
		changedSince := m.store.at(id, m.store.revision()) != said
		switch inUse := t.Servers[id]; {
		case (held == nil) != (inUse == nil) || held != nil && !sameServer(held, inUse):
			return fmt.Errorf("the table has server %v; the entry says %v", inUse, held)
		case held != nil && held.GetRevision() <= revision && held.GetRevision() != said.GetRevision():
			return fmt.Errorf("server %s is held as of revision %d; the store said %v by revision %d", id, held.GetRevision(), said, revision)
		case held == nil && said != nil && !said.GetGone() && !changedSince:
			return fmt.Errorf("server %s is not in use at revision %d; the store said %v", id, revision, said)
		}
	}
	return nil
}

// TestReplicasFollowStore runs random interleavings of changes, full reads, watches, polls, restarts, compactions and messages that come late or
// twice, against a plain reference of what the store said. It guards against a replica that uses a server which the store removed, or lost one.
func TestReplicasFollowStore(t *testing.T) {
	m := &replicaModel{random: rand.New(rand.NewPCG(*modelSeed, 0)), store: &modelStore{version: 1}, now: now}
	for range modelReplicas {
		m.replicas = append(m.replicas, NewReplica())
	}
	for i := range *modelSteps {
		before := make([]jaypitch.Position, modelReplicas)
		versions := make([]int64, modelReplicas)
		held := append([]*Replica(nil), m.replicas...)
		for j, r := range held {
			before[j], versions[j] = r.Position(), r.Table().Version
		}
		m.log = append(m.log, m.step())
		for j, r := range m.replicas {
			if err := m.check(r); err != nil {
				t.Fatalf("-model.seed %d, step %d, replica %d: %s\nlast steps: %v", *modelSeed, i, j, err, m.log[max(0, len(m.log)-30):])
			}
			if r == held[j] && (r.Position().Compare(before[j]) < 0 || r.Table().Version < versions[j]) {
				t.Fatalf("-model.seed %d, step %d: replica %d went back", *modelSeed, i, j)
			}
		}
	}
}

// FuzzUpdateFrom guards against an update of another sidecar that ends the process: the replica merges it, matches requests with it and sends it on.
func FuzzUpdateFrom(f *testing.F) {
	for _, m := range []*schema.HeldResponse{
		{Revision: 3, Whole: true, Config: config(2, "/p/"), Servers: []*schema.MeshServer{server("a", "10.0.0.1:80", 2), tombstone("b", 3)}},
		{Revision: 4, Difference: &schema.MeshDifference{Base: 1, Head: config(2, "/q/"), Removed: []string{"h\n/p/\n/p/"}}},
		{Revision: 4, Difference: &schema.MeshDifference{Base: 1}},
		{Revision: 4, Config: &schema.MeshConfig{Version: 3, Rules: []*schema.MeshRule{{Host: "h", Prefix: "/"}}}},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		m := &schema.HeldResponse{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		s := NewReplica()
		s.Merge(jaypitch.MeshUpdate{Revision: 1, Config: config(1, "/p/"), Servers: []*schema.MeshServer{server("a", "10.0.0.1:80", 1)}}, now)
		u, e := s.UpdateFrom(m)
		if e != nil {
			return
		}
		s.Merge(u, now)
		for _, r := range m.GetConfig().GetRules() {
			if rule := s.Table().Match(r.GetHost(), r.GetPrefix()); rule != nil {
				rule.Destination(0.99)
			}
		}
		s.Expire(now.Add(time.Hour))
		NewReplica().Merge(jaypitch.MeshUpdate{Full: true, Servers: s.ChangesSince(jaypitch.Position{}, 0).GetServers()}, now)
	})
}
