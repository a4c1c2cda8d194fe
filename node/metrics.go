package node

import (
	"github.com/jaypitch/jaypitch/operator"
	"github.com/jaypitch/jaypitch/settings"
)

// registerMetrics registers the metrics whose values are read at each scrape.
func (n *Node) registerMetrics() {
	m := n.metrics
	m.RegisterGauge("jaypitch_confirmed", "1 if the configuration is confirmed: compared with the source or peers since the start or the last pause of the process; else 0.", func() float64 { return boolValue(n.confirmation.confirmed()) })
	m.RegisterGauge("jaypitch_ready", "1 if the node may accept requests, else 0.", func() float64 { return boolValue(n.confirmation.ready()) })
	m.RegisterGauge("jaypitch_listed", "1 if the host list contains this host, else 0.", func() float64 { return boolValue(n.topology.Load().Listed) })
	m.RegisterGauge("jaypitch_source_age_seconds", "Time since the source's last known response, read by this node or reported by a peer; -1 if none.", n.sourceAgeSeconds)
	m.RegisterGauge("jaypitch_source_behind", "1 while the source returns older revisions to this node than it has accepted, else 0.", n.sourceBehind)
	m.RegisterCounter("jaypitch_source_calls_total", "Requests of this node to the source, for teams' settings and host lists.", n.sourceRequests)
	m.RegisterCounter("jaypitch_control_sent_bytes_total", "Bytes sent on control connections.", func() float64 { return float64(n.traffic.Sent.Load()) })
	m.RegisterCounter("jaypitch_control_received_bytes_total", "Bytes received on control connections.", func() float64 { return float64(n.traffic.Received.Load()) })
	m.RegisterCounter("jaypitch_corrupt_bodies_total", "Document bodies received from peers that didn't match their digest or couldn't be rebuilt from a delta.", func() float64 { return float64(n.poller.CorruptBodies()) })
	m.RegisterCounter("jaypitch_documents_accepted_total", "Document revisions accepted.", n.mergeCount(settings.Accepted))
	m.RegisterCounter("jaypitch_documents_conflicting_total", "Documents received with another content than the accepted one of the same revision.", n.mergeCount(settings.Conflicting))
	m.RegisterGauge("jaypitch_documents_refused", "Documents whose newest revision was refused as invalid.", n.refusedDocuments)
	m.RegisterGauge("jaypitch_routes_withdrawn", "Declared routes that can't be served.", n.withdrawnRoutes)
	m.RegisterGauge("jaypitch_suspect_hosts", "Hosts that this node suspects to be unresponsive.", func() float64 { return float64(len(n.poller.Suspects())) })
	m.RegisterGauge("jaypitch_ejected_hosts", "Hosts to which this node sends no requests because they failed.", func() float64 { return float64(len(n.dispatcher.Ejected())) })
	m.RegisterGauge("jaypitch_unlisted_hosts", "Hosts that sent control requests to this node in the last minute and are missing from the host list.", func() float64 { return float64(len(n.Unlisted())) })
	m.RegisterGauge("jaypitch_stopping", "1 if the backend server takes no new requests, else 0.", func() float64 { return boolValue(n.lifecycle.backendStopping()) })
	m.RegisterGauge("jaypitch_calls_running", "Requests that hold slots of the backend server.", func() float64 { running, _, _ := n.receiver.Counts(); return float64(running) })
	m.RegisterGauge("jaypitch_calls_waiting", "Requests that are queued for a slot.", func() float64 { _, queued, _ := n.receiver.Counts(); return float64(queued) })
	m.RegisterGauge("jaypitch_slots", "Requests that the backend server may process at a time.", func() float64 { _, _, limit := n.receiver.Counts(); return float64(limit) })
	m.RegisterGauge("jaypitch_kept_answers", "Responses in the cache for repeated requests with a token.", func() float64 { return float64(n.receiver.CachedResponses()) })
	m.RegisterCounter("jaypitch_retries_total", "Retries of requests.", func() float64 { return float64(n.dispatcher.Retries()) })
}

func (n *Node) sourceAgeSeconds() float64 {
	age := n.confirmation.sourceAge()
	if age < 0 {
		return -1
	}
	return age.Seconds()
}

func (n *Node) sourceBehind() float64 {
	return boolValue(n.readers[0].Status().Behind || n.readers[1].Status().Behind)
}

func (n *Node) sourceRequests() float64 {
	return float64(n.readers[0].Status().Requests + n.readers[1].Status().Requests)
}

// mergeCount returns a function that reads the number of merges with an outcome.
func (n *Node) mergeCount(o settings.Outcome) func() float64 {
	return func() float64 { return float64(n.replica.Merges()[o]) }
}

func (n *Node) refusedDocuments() float64 {
	count := 0
	for _, e := range n.replica.Entries() {
		if e.Refused != nil {
			count++
		}
	}
	return float64(count)
}

func (n *Node) withdrawnRoutes() float64 {
	count := 0
	for _, tt := range n.replica.Table().Teams {
		count += len(tt.Withdrawn)
	}
	return float64(count)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Metrics returns the metrics of the node.
func (n *Node) Metrics() *operator.Metrics {
	return n.metrics
}
