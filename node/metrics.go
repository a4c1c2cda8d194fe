package node

import (
	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/settings"
)

// registerMetrics registers what is read when Prometheus asks.
func (n *Node) registerMetrics() {
	m := n.metrics
	m.RegisterGauge("jaypitch_confirmed", "1 if the node has compared its settings since its start or its last pause, else 0.", func() float64 { return truth(n.trust.confirmed()) })
	m.RegisterGauge("jaypitch_ready", "1 if the node takes work, else 0.", func() float64 { return truth(n.trust.ready()) })
	m.RegisterGauge("jaypitch_listed", "1 if the host list holds this host, else 0.", func() float64 { return truth(n.topology.Load().Listed) })
	m.RegisterGauge("jaypitch_source_age_seconds", "Time since the last answer of the source that the node knows of; -1 if none.", n.sourceAgeSeconds)
	m.RegisterGauge("jaypitch_source_behind", "1 while the source answers this reader with older revisions than accepted ones, else 0.", n.sourceBehind)
	m.RegisterCounter("jaypitch_source_calls_total", "Calls of this node to the source and the host list.", n.sourceCalls)
	m.RegisterCounter("jaypitch_control_sent_bytes_total", "Bytes sent on control connections.", func() float64 { return float64(n.traffic.Sent.Load()) })
	m.RegisterCounter("jaypitch_control_received_bytes_total", "Bytes received on control connections.", func() float64 { return float64(n.traffic.Received.Load()) })
	m.RegisterCounter("jaypitch_corrupt_bodies_total", "Bodies that didn't have the digest announced for them.", func() float64 { return float64(n.poller.CorruptBodies()) })
	m.RegisterCounter("jaypitch_documents_accepted_total", "Versions accepted.", n.merges(settings.Accepted))
	m.RegisterCounter("jaypitch_documents_conflicting_total", "Versions seen with another content than the one held.", n.merges(settings.Conflicting))
	m.RegisterGauge("jaypitch_documents_refused", "Documents whose newest revision is refused.", n.refusedDocuments)
	m.RegisterGauge("jaypitch_routes_withdrawn", "Declared routes that can't be served.", n.withdrawnRoutes)
	m.RegisterGauge("jaypitch_suspect_hosts", "Hosts that this node suspects.", func() float64 { return float64(len(n.poller.Suspects())) })
	m.RegisterGauge("jaypitch_ejected_hosts", "Hosts that get no calls of this node because they failed.", func() float64 { return float64(len(n.dispatcher.Ejected())) })
	m.RegisterGauge("jaypitch_unlisted_hosts", "Hosts that asked this node lately and are absent from the host list.", func() float64 { return float64(len(n.Unlisted())) })
	m.RegisterGauge("jaypitch_stopping", "1 if no new work for the backend server is taken, else 0.", func() float64 { return truth(n.lifecycle.backendStopping()) })
	m.RegisterGauge("jaypitch_calls_running", "Calls that hold slots of the backend server.", func() float64 { running, _, _ := n.receiver.Counts(); return float64(running) })
	m.RegisterGauge("jaypitch_calls_waiting", "Calls that wait for a slot.", func() float64 { _, waiting, _ := n.receiver.Counts(); return float64(waiting) })
	m.RegisterGauge("jaypitch_slots", "Calls that may run at once.", func() float64 { _, _, limit := n.receiver.Counts(); return float64(limit) })
	m.RegisterGauge("jaypitch_kept_answers", "Answers kept for repeats with a token.", func() float64 { return float64(n.receiver.CachedResponses()) })
	m.RegisterCounter("jaypitch_retries_total", "Further attempts of calls.", func() float64 { return float64(n.dispatcher.Retries()) })
}

func (n *Node) sourceAgeSeconds() float64 {
	age := n.trust.sourceAge()
	if age < 0 {
		return -1
	}
	return age.Seconds()
}

func (n *Node) sourceBehind() float64 {
	return truth(n.readers[0].Status().Behind || n.readers[1].Status().Behind)
}

func (n *Node) sourceCalls() float64 {
	return float64(n.readers[0].Status().Requests + n.readers[1].Status().Requests)
}

// merges returns a function that reads how many merges had an outcome.
func (n *Node) merges(o settings.Outcome) func() float64 {
	return func() float64 { return float64(n.store.Merges()[o]) }
}

func (n *Node) refusedDocuments() float64 {
	count := 0
	for _, e := range n.store.Entries() {
		if e.Refused != nil {
			count++
		}
	}
	return float64(count)
}

func (n *Node) withdrawnRoutes() float64 {
	count := 0
	for _, tt := range n.store.Table().Teams {
		count += len(tt.Withdrawn)
	}
	return float64(count)
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Metrics returns the metrics of the node.
func (n *Node) Metrics() *operator.Metrics {
	return n.metrics
}
