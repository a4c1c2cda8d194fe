package meshpeer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
)

// Client sends MeshPeer requests to other sidecars. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

const (
	// requestTimeout bounds a request for changes within a region, whose response has up to a megabyte.
	requestTimeout = 400 * time.Millisecond
	dialTimeout    = 200 * time.Millisecond
	idleTimeout    = 5 * time.Second
	// compressMinBytes is the smallest size of a message that is compressed, in bytes.
	compressMinBytes = 1024
	// maxMessageBytes bounds a response, compressed and decompressed. It is the bound of the store's responses too.
	maxMessageBytes = 8 << 20
)

// NewClient returns a client that connects from an address of this host. Receivers identify this sidecar by it, to send requests back.
func NewClient(local netip.Addr) *Client {
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: local.AsSlice()}}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true}
	return &Client{http: &http.Client{Transport: http1.NewBoundedTransport(t, maxMessageBytes)}}
}

// to returns the client of the sidecar at an address.
func (c *Client) to(address string) schemaconnect.MeshPeerClient {
	return schemaconnect.NewMeshPeerClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// ChangesSince returns what changed after a position of the store, from the replica of the sidecar at an address. Version is that of the
// configuration that the client holds. The request times out after requestTimeout.
func (c *Client) ChangesSince(ctx context.Context, address string, after jaypitch.Position, version int64) (*schema.HeldResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a, err := c.to(address).Held(ctx, connect.NewRequest(&schema.HeldRequest{After: after.Revision, Era: after.Era.Pointer(), Version: version}))
	if err != nil {
		return nil, eris.Wrapf(err, "requesting the changes from the sidecar at %s", address)
	}
	return a.Msg, nil
}

// Burn returns the counts of good and bad requests of the sidecar at an address.
func (c *Client) Burn(ctx context.Context, address string) ([]burn.Count, error) {
	a, err := c.to(address).Burn(ctx, connect.NewRequest(&schema.BurnRequest{}))
	if err != nil {
		return nil, eris.Wrapf(err, "requesting the burn counts of the sidecar at %s", address)
	}
	return burn.FromProto(a.Msg.GetCounts()), nil
}

// Find returns the finding of the sidecar at an address on a subject, under the given host name.
func (c *Client) Find(ctx context.Context, host, address string, subject *schema.Subject) (evidence.Finding, error) {
	a, err := c.to(address).Find(ctx, connect.NewRequest(subject))
	if err != nil {
		return evidence.Finding{}, eris.Wrapf(err, "requesting a finding from the sidecar at %s", address)
	}
	m := a.Msg
	if m.GetDataCentre() != subject.GetDataCentre() {
		return evidence.Finding{}, eris.Errorf("the sidecar at %s is of a build that has no findings on data centres", address)
	}
	return evidence.Finding{Host: host, Revision: m.GetVersion(), Enforced: m.GetEnforced(), Confirmed: m.GetConfirmed(), InProgress: m.GetInFlight(),
		SinceAppliedUS: m.GetHeldUs(), LastRequestUS: m.GetLastCallUs()}, nil
}
