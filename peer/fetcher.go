package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
	"github.com/jaypitch/jaypitch/settings"
)

// Fetcher fetches announced versions from peers and merges them into a replica. It is safe for concurrent use: a caller waits for
// a version that another caller is fetching, instead of fetching it a second time.
type Fetcher struct {
	replica *settings.Replica

	mu sync.Mutex
	// pending holds the claims by key.
	pending map[string]*claim
	corrupt int64
}

// claim marks a version that one caller is fetching. done is closed when the fetch has ended.
type claim struct {
	version *schema.Version
	done    chan struct{}
}

const (
	// claimTimeout is how long a caller waits for another caller's fetch of a key. It then fetches the key from its own peer.
	claimTimeout = 300 * time.Millisecond
	fetchTimeout = 3 * time.Second
)

// NewFetcher returns a Fetcher that merges into a replica.
func NewFetcher(replica *settings.Replica) *Fetcher {
	return &Fetcher{replica: replica, pending: map[string]*claim{}}
}

// CorruptBodies returns the number of bodies that didn't match their announced digest or couldn't be rebuilt from a delta.
func (f *Fetcher) CorruptBodies() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.corrupt
}

// Fetch fetches from a peer those of the versions that are newer than the replica's, and merges them. If it returns nil, the replica
// holds or has refused each of the versions, or holds a newer one.
func (f *Fetcher) Fetch(ctx context.Context, p schemaconnect.PeerClient, versions []*schema.Version) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for wanted := f.replica.SelectNewer(versions); len(wanted) > 0; wanted = f.replica.SelectNewer(versions) {
		claims, other := f.claim(wanted)
		if len(claims) == 0 {
			if err := f.awaitClaim(ctx, other); err != nil {
				return err
			}
			continue
		}
		err := f.fetchClaimed(ctx, p, versionsOf(claims))
		f.release(claims)
		if err != nil {
			return err
		}
		if left := f.replica.SelectNewer(versionsOf(claims)); len(left) > 0 {
			return jaypitch.Errorf(jaypitch.CodeDigestMismatch, "peer announced revision %d of %q but did not return it", left[0].GetRevision(), left[0].GetKey())
		}
	}
	return nil
}

// claim claims the versions whose keys no other caller has claimed. It also returns the claim of another caller, nil if there is none.
func (f *Fetcher) claim(wanted []*schema.Version) ([]*claim, *claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var claims []*claim
	var other *claim
	for _, v := range wanted {
		if c := f.pending[v.GetKey()]; c != nil {
			other = c
			continue
		}
		c := &claim{version: v, done: make(chan struct{})}
		f.pending[v.GetKey()] = c
		claims = append(claims, c)
	}
	return claims, other
}

func (f *Fetcher) release(claims []*claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range claims {
		close(c.done)
		f.removeClaim(c)
	}
}

// removeClaim removes a claim, unless another caller's claim has replaced it. The caller holds f.mu.
func (f *Fetcher) removeClaim(c *claim) {
	if f.pending[c.version.GetKey()] == c {
		delete(f.pending, c.version.GetKey())
	}
}

func versionsOf(claims []*claim) []*schema.Version {
	versions := make([]*schema.Version, len(claims))
	for i, c := range claims {
		versions[i] = c.version
	}
	return versions
}

// awaitClaim waits until another caller's fetch has ended. After claimTimeout it removes the claim, so that this caller can fetch the key.
func (f *Fetcher) awaitClaim(ctx context.Context, other *claim) error {
	t := time.NewTimer(claimTimeout)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-other.done:
	case <-t.C:
		f.mu.Lock()
		f.removeClaim(other)
		f.mu.Unlock()
	}
	return nil
}

// fetchClaimed requests bodies until the peer has sent all. While the peer's rate limit for full bodies is exceeded, it waits as long as
// the response says.
func (f *Fetcher) fetchClaimed(ctx context.Context, p schemaconnect.PeerClient, versions []*schema.Version) error {
	for len(versions) > 0 {
		r, err := p.Fetch(ctx, connect.NewRequest(&schema.FetchRequest{Items: f.items(versions)}))
		if err != nil {
			return err
		}
		if err := f.mergeBodies(r.Msg.GetBodies()); err != nil {
			return err
		}
		if r.Msg.GetRetryAfterUs() == 0 {
			return nil
		}
		if err := jaypitch.Sleep(ctx, time.Duration(r.Msg.GetRetryAfterUs())*time.Microsecond); err != nil {
			return err
		}
		versions = f.replica.SelectNewer(versions)
	}
	return nil
}

// items returns the items of a FetchRequest. The replica's current text of a key is the base of a delta.
func (f *Fetcher) items(versions []*schema.Version) []*schema.FetchItem {
	items := make([]*schema.FetchItem, 0, len(versions))
	for _, v := range versions {
		i := &schema.FetchItem{Key: v.GetKey(), Revision: v.GetRevision()}
		if e, ok := f.replica.Entry(v.GetKey()); ok && !e.Document.Deleted && e.Document.Revision > 0 {
			i.BaseDigest = e.Document.Digest[:]
		}
		items = append(items, i)
	}
	return items
}

// mergeBodies checks bodies against their digests and merges them. It stops at the first one that doesn't match.
func (f *Fetcher) mergeBodies(bodies []*schema.Body) error {
	for _, b := range bodies {
		d, err := f.document(b)
		if err != nil {
			f.countCorrupt()
			return err
		}
		f.replica.Merge(d)
	}
	return nil
}

// document returns the document of a body, whose text is complete or a delta, after checking its digest.
func (f *Fetcher) document(b *schema.Body) (jaypitch.Document, error) {
	v := b.GetVersion()
	if v.GetDeleted() {
		return jaypitch.NewTombstone(v.GetKey(), v.GetRevision()), nil
	}
	digest, ok := digestOf(v.GetDigest())
	if !ok {
		return jaypitch.Document{}, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "digest of %q has invalid length: %d bytes", v.GetKey(), len(v.GetDigest()))
	}
	text := b.GetText()
	if len(b.GetBaseDigest()) > 0 {
		patched, err := f.patch(b, digest)
		if err != nil {
			return jaypitch.Document{}, err
		}
		text = patched
	}
	out := jaypitch.NewDocument(v.GetKey(), v.GetRevision(), text)
	if out.Digest != digest {
		return jaypitch.Document{}, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "body of %q has digest %s, want %s", v.GetKey(), out.Digest, digest)
	}
	return out, nil
}

// patch applies the delta of a body to its base text.
func (f *Fetcher) patch(b *schema.Body, digest jaypitch.Digest) ([]byte, error) {
	baseDigest, _ := digestOf(b.GetBaseDigest())
	base, ok := f.replica.Base(b.GetVersion().GetKey(), baseDigest)
	if !ok {
		return nil, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "base text %s of %q is no longer available", baseDigest, b.GetVersion().GetKey())
	}
	return settings.Patch(base, b.GetPieces(), digest)
}

func (f *Fetcher) countCorrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.corrupt++
}
