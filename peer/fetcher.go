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

// Fetcher brings announced versions into a store. It is safe for concurrent use: what one caller
// is fetching, another waits for rather than fetching it a second time.
type Fetcher struct {
	store *settings.Replica

	mu      sync.Mutex
	pending map[string]*claim
	corrupt int64
}

// claim marks a version that one caller is fetching.
type claim struct {
	version *schema.Version
	done    chan struct{}
}

const (
	// pendingWait is how long a second announcer's copy waits for the first one's fetch.
	pendingWait  = 300 * time.Millisecond
	fetchTimeout = 3 * time.Second
)

// NewFetcher makes a fetcher into a store.
func NewFetcher(store *settings.Replica) *Fetcher {
	return &Fetcher{store: store, pending: map[string]*claim{}}
}

// CorruptBodies returns how many bodies didn't have their announced digest.
func (f *Fetcher) CorruptBodies() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.corrupt
}

// Fetch brings those of the versions that are newer than what is held from a peer. When it returns
// without error, the store holds or has refused each of them, or holds something newer.
func (f *Fetcher) Fetch(ctx context.Context, p schemaconnect.PeerClient, versions []*schema.Version) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for wanted := f.store.SelectNewer(versions); len(wanted) > 0; wanted = f.store.SelectNewer(versions) {
		mine, other := f.claim(wanted)
		if len(mine) == 0 {
			if err := f.awaitOther(ctx, other); err != nil {
				return err
			}
			continue
		}
		err := f.fetchClaimed(ctx, p, versionsOf(mine))
		f.release(mine)
		if err != nil {
			return err
		}
		if left := f.store.SelectNewer(versionsOf(mine)); len(left) > 0 {
			return jaypitch.Errorf(jaypitch.CodeDigestMismatch, "the peer announced revision %d of %q and doesn't give it", left[0].GetRevision(), left[0].GetKey())
		}
	}
	return nil
}

// claim marks versions as being fetched; if all are, it returns the claim of another caller.
func (f *Fetcher) claim(wanted []*schema.Version) ([]*claim, *claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var mine []*claim
	var other *claim
	for _, v := range wanted {
		if c := f.pending[v.GetKey()]; c != nil {
			other = c
			continue
		}
		c := &claim{version: v, done: make(chan struct{})}
		f.pending[v.GetKey()] = c
		mine = append(mine, c)
	}
	return mine, other
}

func (f *Fetcher) release(claims []*claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range claims {
		close(c.done)
		f.drop(c)
	}
}

// drop lets others claim the key, unless another claim has overtaken this one.
func (f *Fetcher) drop(c *claim) {
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

// awaitOther waits for another caller's fetch; one that takes too long is overtaken.
func (f *Fetcher) awaitOther(ctx context.Context, other *claim) error {
	t := time.NewTimer(pendingWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-other.done:
	case <-t.C:
		f.mu.Lock()
		f.drop(other)
		f.mu.Unlock()
	}
	return nil
}

// fetchClaimed asks for bodies until all are there, keeping to the peer's budget.
func (f *Fetcher) fetchClaimed(ctx context.Context, p schemaconnect.PeerClient, versions []*schema.Version) error {
	for len(versions) > 0 {
		r, err := p.Fetch(ctx, connect.NewRequest(&schema.FetchRequest{Items: f.items(versions)}))
		if err != nil {
			return err
		}
		if err := f.takeIn(r.Msg.GetBodies()); err != nil {
			return err
		}
		if r.Msg.GetRetryAfterUs() == 0 {
			return nil
		}
		if err := jaypitch.Sleep(ctx, time.Duration(r.Msg.GetRetryAfterUs())*time.Microsecond); err != nil {
			return err
		}
		versions = f.store.SelectNewer(versions)
	}
	return nil
}

func (f *Fetcher) items(versions []*schema.Version) []*schema.FetchItem {
	items := make([]*schema.FetchItem, 0, len(versions))
	for _, v := range versions {
		i := &schema.FetchItem{Key: v.GetKey(), Revision: v.GetRevision()}
		if e, ok := f.store.Entry(v.GetKey()); ok && !e.Document.Deleted && e.Document.Revision > 0 {
			i.BaseDigest = e.Document.Digest[:]
		}
		items = append(items, i)
	}
	return items
}

// takeIn checks bodies against their digests and merges them.
func (f *Fetcher) takeIn(bodies []*schema.Body) error {
	for _, b := range bodies {
		d, err := f.document(b)
		if err != nil {
			f.countCorrupt()
			return err
		}
		f.store.Merge(d)
	}
	return nil
}

func (f *Fetcher) document(b *schema.Body) (jaypitch.Document, error) {
	v := b.GetVersion()
	if v.GetDeleted() {
		return jaypitch.NewTombstone(v.GetKey(), v.GetRevision()), nil
	}
	digest, ok := digestOf(v.GetDigest())
	if !ok {
		return jaypitch.Document{}, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "the digest of %q has %d bytes", v.GetKey(), len(v.GetDigest()))
	}
	text := b.GetText()
	if len(b.GetBaseDigest()) > 0 {
		base, err := f.patch(b, digest)
		if err != nil {
			return jaypitch.Document{}, err
		}
		text = base
	}
	out := jaypitch.NewDocument(v.GetKey(), v.GetRevision(), text)
	if out.Digest != digest {
		return jaypitch.Document{}, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "the body of %q has digest %s, not %s", v.GetKey(), out.Digest, digest)
	}
	return out, nil
}

func (f *Fetcher) patch(b *schema.Body, digest jaypitch.Digest) ([]byte, error) {
	baseDigest, _ := digestOf(b.GetBaseDigest())
	base, ok := f.store.Base(b.GetVersion().GetKey(), baseDigest)
	if !ok {
		return nil, jaypitch.Errorf(jaypitch.CodeDigestMismatch, "the base %s of %q is not held any more", baseDigest, b.GetVersion().GetKey())
	}
	return settings.Patch(base, b.GetPieces(), digest)
}

func (f *Fetcher) countCorrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.corrupt++
}
