package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/settings"
)

// Status returns the state of this node for operators.
func (n *Node) Status() operator.Status {
	topology := n.topology.Load()
	s := operator.Status{
		Host: n.settings.GetNode().GetHost(), DataCentre: n.settings.GetNode().GetDataCentre(), Service: n.settings.GetNode().GetService(),
		Process: fmt.Sprintf("%016x", n.process), StartedAt: n.started, Confirmed: n.confirmation.confirmed(), Ready: n.confirmation.ready(),
		Listed: topology.Listed, SourceAgeMS: toMillis(n.confirmation.sourceAge()), Source: n.readers[0].Status(), HostList: n.readers[1].Status(),
		Position: topology.Position, Parents: n.poller.Parents(), Children: n.peerServer.OpenPolls(), Suspects: n.poller.Suspects(),
		Ejected: n.dispatcher.Ejected(), CachedResponses: n.receiver.CachedResponses(), Retries: n.dispatcher.Retries(), Hosts: n.replica.Table().HostCount(),
		ControlSentBytes: n.traffic.Sent.Load(), ControlReceivedBytes: n.traffic.Received.Load(),
	}
	s.RequestsRunning, s.RequestsQueued, s.Slots = n.receiver.Counts()
	backend, clients := n.lifecycle.inProgress()
	s.InProgress = backend + clients
	for _, r := range n.lifecycle.stopReasons() {
		s.Stopping = append(s.Stopping, string(r))
	}
	for _, e := range n.replica.Entries() {
		s.Documents = append(s.Documents, documentStatus(e))
	}
	return s
}

// Routes returns the declared routes of the current table, sorted by team and route. Withdrawn routes follow the others of their team.
func (n *Node) Routes() []operator.RouteStatus {
	t := n.replica.Table()
	out := []operator.RouteStatus{}
	for _, team := range slices.Sorted(maps.Keys(t.Teams)) {
		tt := t.Teams[team]
		for _, name := range slices.Sorted(maps.Keys(tt.Routes)) {
			r := tt.Routes[name]
			out = append(out, operator.RouteStatus{Team: team, Route: name, Service: r.Service.Name, Rank: r.Rank.Name, Idempotent: r.Idempotent,
				Customers: slices.Sorted(maps.Keys(r.Customers)), Hosts: len(r.Service.Hosts)})
		}
		for _, name := range slices.Sorted(maps.Keys(tt.Withdrawn)) {
			out = append(out, operator.RouteStatus{Team: team, Route: name, Customers: []string{}, Withdrawn: tt.Withdrawn[name].Error()})
		}
	}
	return out
}

// TeamText returns the accepted text of a team's document. It returns false if there is none or it was deleted.
func (n *Node) TeamText(team string) ([]byte, bool) {
	e, ok := n.replica.Entry(jaypitch.TeamPrefix + team)
	if !ok || e.Document.Deleted || e.Document.Revision == 0 {
		return nil, false
	}
	return e.Document.Text, true
}

// Evidence requests fresh findings on a subject from every listed host, until the deadline.
func (n *Node) Evidence(ctx context.Context, s *schema.Subject, deadline time.Time) *evidence.Report {
	started := n.now()
	targets := targetsOf(n.replica.Table())
	r := n.peerServer.GatherEvidence(ctx, &schema.EvidenceRequest{Subject: s, Targets: targets, TimeLeftUs: deadline.Sub(started).Microseconds()})
	report := evidence.NewReport(s, targets, r)
	report.HostLists = n.hostListStatuses()
	report.TookMS = float64(n.now().Sub(started).Microseconds()) / 1000
	return report
}

// Burn requests the service-level counts of every listed host, until the deadline.
func (n *Node) Burn(ctx context.Context, deadline time.Time) *burn.Report {
	targets := targetsOf(n.replica.Table())
	r := n.peerServer.GatherBurn(ctx, &schema.BurnRequest{Targets: targets, TimeLeftUs: deadline.Sub(n.now()).Microseconds()})
	return burn.NewReport(burn.FromProto(r.GetCounts()), len(targets), r.GetSilent())
}

// SetDraining stops the requests to the backend server of this host, or resumes them if drain is false.
func (n *Node) SetDraining(drain bool) {
	n.lifecycle.set(StopOperator, drain)
}

// hostListStatuses returns the host lists from which the targets of a report are taken.
func (n *Node) hostListStatuses() []evidence.HostListStatus {
	var out []evidence.HostListStatus
	for _, e := range n.replica.Entries() {
		if dc := jaypitch.DataCentreOfKey(e.Document.Key); dc != "" && e.Document.Revision > 0 {
			out = append(out, evidence.HostListStatus{DataCentre: dc, Revision: e.Document.Revision, SinceAppliedMS: toMillis(n.now().Sub(e.AcceptedAt)), SourceAgeMS: toMillis(n.confirmation.sourceAge())})
		}
	}
	return out
}

func targetsOf(t *settings.Table) []*schema.Target {
	var out []*schema.Target
	for _, h := range t.Hosts() {
		out = append(out, &schema.Target{Host: h.Name, Address: h.Address})
	}
	return out
}

func documentStatus(e settings.Entry) operator.DocumentStatus {
	d := operator.DocumentStatus{Key: e.Document.Key, Revision: e.Document.Revision, Digest: e.Document.Digest.String(), Deleted: e.Document.Deleted,
		Since: e.AcceptedAt, Conflict: e.Conflict}
	if e.Refused != nil {
		d.RefusedRevision, d.RefusedCode, d.RefusedReason = e.Refused.Revision, e.Refused.Code, e.Refused.Reason
	}
	return d
}

// toMillis returns a duration in milliseconds, or -1 if it is negative, which means unknown.
func toMillis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}
