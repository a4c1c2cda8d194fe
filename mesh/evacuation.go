package mesh

import (
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// evacuation is the operators' request that the servers of a data centre receive nothing, or the tombstone of one that was taken back.
type evacuation struct {
	// entry has a revision of the replica's era, or none if it was taken over from an earlier era.
	entry *schema.MeshEvacuation
	// since is when this replica took the request over.
	since time.Time
	// heldUntil is the time until which the request stays in force though the store's copy lacks it; zero if the store has it.
	heldUntil time.Time
	// tombstoneUntil is when the tombstone may be deleted.
	tombstoneUntil time.Time
}

// Evacuation describes a data centre whose servers receive no requests.
type Evacuation struct {
	// Since is when this sidecar learned of the request.
	Since time.Time
	// Revision is the store's revision at which the request was written; zero if it was taken over from an earlier era of the store.
	Revision int64
}

// evacuationHold is how long an evacuation stays in force after the store came back from a copy that lacks it, so that the operators can write it
// again. Nobody took it back, and requests in an evacuated data centre harm more than ten seconds without its servers.
const evacuationHold = 10 * time.Second

// mergeEvacuations applies the newer evacuations of an update. It returns the changes; those of evacuations that were taken back are tombstones.
// An entry without a revision changes nothing: it only says that the store has one for the data centre.
func (s *Replica) mergeEvacuations(u jaypitch.MeshUpdate, restored bool, now time.Time) []*schema.MeshEvacuation {
	var changed []*schema.MeshEvacuation
	listed := make(map[string]bool, len(u.Evacuations))
	for _, v := range u.Evacuations {
		listed[v.GetDataCentre()] = true
		if s.mergeEvacuation(v, now) {
			changed = append(changed, v)
		}
	}
	if !u.Full {
		return changed
	}
	for name, e := range s.evacuations {
		if listed[name] || e.entry.GetGone() || e.entry.GetRevision() > u.Revision {
			continue
		}
		if restored {
			e.heldUntil = s.restoredAt.Add(evacuationHold)
		}
		if now.Before(e.heldUntil) {
			continue
		}
		e.takeBack(u.Revision, now)
		changed = append(changed, e.entry)
	}
	return changed
}

// mergeEvacuation applies one entry if it is newer than the replica's. It reports whether that changed which data centres are evacuated.
func (s *Replica) mergeEvacuation(v *schema.MeshEvacuation, now time.Time) bool {
	e := s.evacuations[v.GetDataCentre()]
	if v.GetRevision() <= e.revision() {
		return false
	}
	if e == nil {
		e = &evacuation{entry: &schema.MeshEvacuation{Gone: true}}
		s.evacuations[v.GetDataCentre()] = e
	}
	before := e.entry
	if v.GetGone() {
		e.takeBack(v.GetRevision(), now)
		e.entry = v
		return !before.GetGone()
	}
	if before.GetGone() {
		e.since = now
	}
	e.entry, e.heldUntil = v, time.Time{}
	return before.GetGone()
}

// revision returns the revision of the entry; zero if there is none.
func (e *evacuation) revision() int64 {
	if e == nil {
		return 0
	}
	return e.entry.GetRevision()
}

// takeBack replaces the request by a tombstone.
func (e *evacuation) takeBack(revision int64, now time.Time) {
	e.entry = &schema.MeshEvacuation{DataCentre: e.entry.GetDataCentre(), Gone: true, Revision: revision}
	e.heldUntil, e.tombstoneUntil = time.Time{}, now.Add(tombstoneLifetime)
}

// beginEvacuationEra makes every revision of a new era newer than the evacuations of the one before.
func (s *Replica) beginEvacuationEra(now time.Time) {
	for _, e := range s.evacuations {
		e.entry = &schema.MeshEvacuation{DataCentre: e.entry.GetDataCentre(), Gone: e.entry.GetGone()}
		if e.entry.GetGone() {
			e.tombstoneUntil = now.Add(tombstoneLifetime)
		}
	}
}

// expireEvacuations ends evacuations that the store's copy lacks and that nobody wrote again, and deletes old tombstones. It reports whether any ended.
func (s *Replica) expireEvacuations(now time.Time) bool {
	ended := false
	for name, e := range s.evacuations {
		if !e.heldUntil.IsZero() && !now.Before(e.heldUntil) {
			e.takeBack(0, now)
			ended = true
		}
		if e.entry.GetGone() && now.After(e.tombstoneUntil) {
			s.removalsKnownAfter = max(s.removalsKnownAfter, e.entry.GetRevision())
			delete(s.evacuations, name)
		}
	}
	return ended
}

// addEvacuations adds the evacuations after a revision to a response.
func (s *Replica) addEvacuations(out *schema.HeldResponse, revision int64) {
	for _, e := range s.evacuations {
		if e.entry.GetRevision() > revision && !(out.GetWhole() && e.entry.GetGone()) {
			out.Evacuations = append(out.Evacuations, e.entry)
		}
	}
}

// currentEvacuations returns the evacuations in force, by data centre.
func (s *Replica) currentEvacuations() map[string]Evacuation {
	out := map[string]Evacuation{}
	for name, e := range s.evacuations {
		if !e.entry.GetGone() {
			out[name] = Evacuation{Since: e.since, Revision: e.entry.GetRevision()}
		}
	}
	return out
}

// Evacuated reports whether the servers of a data centre receive no requests.
func (t *Table) Evacuated(dataCentre string) bool {
	_, ok := t.evacuations[dataCentre]
	return ok
}

// Evacuations returns the evacuated data centres. The caller doesn't change the map.
func (t *Table) Evacuations() map[string]Evacuation {
	return t.evacuations
}

// AllEvacuated reports whether a service has servers that would get requests, but all in evacuated data centres.
func (t *Table) AllEvacuated(service string) bool {
	return t.Services[service] == nil && t.evacuatedServices[service]
}

// HasServers reports whether any service has a server that gets requests, or would if its data centre were not evacuated.
func (t *Table) HasServers() bool {
	return len(t.Services) > 0 || len(t.evacuatedServices) > 0
}
