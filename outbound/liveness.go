package outbound

import "time"

// ProbeTimeout returns how long the response to a probe of the sidecar beside a server is awaited.
func (d *Dispatcher) ProbeTimeout(id string) time.Duration {
	_, ownWait := d.links.incoming.Report()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.ProbeTimeout(id, ownWait, d.now())
}

// recordBytes records that bytes of a response arrived from the sidecar beside a server.
func (d *Dispatcher) recordBytes(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.RecordBytes(id, d.now())
}
