package meshpeer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
)

// Client asks other sidecars what they hold. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

const (
	// askTimeout bounds one question inside a region, with a body of up to a megabyte.
	askTimeout = 400 * time.Millisecond
	dialWait   = 200 * time.Millisecond
	idleTime   = 5 * time.Second
	// compressFrom is the size in bytes from which messages are compressed.
	compressFrom = 1024
)

// NewClient makes a client whose connections come from an address of this host, by which others know whom to ask back.
func NewClient(own netip.Addr) *Client {
	d := &net.Dialer{Timeout: dialWait, LocalAddr: &net.TCPAddr{IP: own.AsSlice()}}
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTime, DisableCompression: true}}}
}

// ChangesSince asks the sidecar at an address what changed after a revision.
func (c *Client) ChangesSince(ctx context.Context, address string, after, version int64) (*schema.HeldResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m := schemaconnect.NewMeshPeerClient(c.http, "http://"+address)
	a, err := m.Held(ctx, connect.NewRequest(&schema.HeldRequest{After: after, Version: version}))
	if err != nil {
		return nil, eris.Wrapf(err, "asking the sidecar at %s", address)
	}
	return a.Msg, nil
}

// Burn asks the sidecar at an address for its counts of good and bad requests.
func (c *Client) Burn(ctx context.Context, address string) ([]burn.Count, error) {
	a, err := schemaconnect.NewMeshPeerClient(c.http, "http://"+address).Burn(ctx, connect.NewRequest(&schema.BurnRequest{}))
	if err != nil {
		return nil, eris.Wrapf(err, "asking the sidecar at %s", address)
	}
	return burn.FromMessages(a.Msg.GetCounts()), nil
}

// Find asks the sidecar at an address what it enforces of a subject; the finding bears the host's name given.
func (c *Client) Find(ctx context.Context, host, address string, subject *schema.Subject) (evidence.Finding, error) {
	a, err := schemaconnect.NewMeshPeerClient(c.http, "http://"+address).Find(ctx, connect.NewRequest(subject))
	if err != nil {
		return evidence.Finding{}, eris.Wrapf(err, "asking the sidecar at %s", address)
	}
	m := a.Msg
	return evidence.Finding{Host: host, Revision: m.GetVersion(), Enforced: m.GetEnforced(), Confirmed: m.GetConfirmed(), InProgress: m.GetInFlight(),
		HeldUS: m.GetHeldUs(), LastRequestUS: m.GetLastCallUs()}, nil
}
