// Package source reads teams' settings and host lists from the platform over an HTTP interface that jaypitch defines, with the JSON
// messages of schema/platform.proto. It never writes to the platform.
package source

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// Collection names one of the platform's two collections.
type Collection string

// Client is an HTTP client for one collection of the platform. It implements jaypitch.Source.
type Client struct {
	http *http.Client
	base string
	now  func() time.Time
}

// StatusError is the error for a response of the platform with a status other than 200.
type StatusError struct {
	Status int
}

const (
	// Teams is the collection of the teams' settings.
	Teams Collection = "teams"
	// HostLists is the collection of host lists.
	HostLists Collection = "hosts"

	// responseGrace is how long a response may take beyond the requested wait; List and Get request none.
	responseGrace = 5 * time.Second
	// maxResponseBytes limits the body of a response. A value takes up to twice its size in the encoding, and a watch returns several values.
	maxResponseBytes = 64 << 20
	// maxHeadBytes limits the status line and header of a response.
	maxHeadBytes = 64 << 10
)

var (
	_ jaypitch.Source         = (*Client)(nil)
	_ jaypitch.HostListSource = (*Client)(nil)
)

// NewClient returns a client for a collection of the platform at an address (host:port).
func NewClient(address string, collection Collection, now func() time.Time) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{http: &http.Client{Transport: t}, base: fmt.Sprintf("http://%s/v1/%s/", address, collection), now: now}
}

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform responded with status %d", e.Status)
}

// Watch returns what changed after a revision. It waits for a change until the deadline. A status other than 200 is a *StatusError.
func (c *Client) Watch(ctx context.Context, after int64, deadline time.Time) (jaypitch.Changes, error) {
	wait := deadline.Sub(c.now())
	ctx, cancel := context.WithTimeout(ctx, wait+responseGrace)
	defer cancel()
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return c.changes(ctx, "watch", q)
}

// List returns every key and its newest revision. A status other than 200 is a *StatusError.
func (c *Client) List(ctx context.Context) (jaypitch.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, responseGrace)
	defer cancel()
	return c.changes(ctx, "list", nil)
}

// Get reads the newest revision of one document. A status other than 200 is a *StatusError.
func (c *Client) Get(ctx context.Context, key string) (jaypitch.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, responseGrace)
	defer cancel()
	m := &schema.SourceChange{}
	if err := c.get(ctx, "value", url.Values{"key": {key}}, m); err != nil {
		return jaypitch.Document{}, err
	}
	return documentOf(m), nil
}

func (c *Client) changes(ctx context.Context, operation string, q url.Values) (jaypitch.Changes, error) {
	m := &schema.SourceChanges{}
	if err := c.get(ctx, operation, q, m); err != nil {
		return jaypitch.Changes{}, err
	}
	out := jaypitch.Changes{Revision: m.GetRevision(), Compacted: m.GetCompacted()}
	for _, d := range m.GetChanges() {
		out.Documents = append(out.Documents, documentOf(d))
	}
	return out, nil
}

func (c *Client) get(ctx context.Context, operation string, q url.Values, m proto.Message) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+operation+"?"+q.Encode(), nil)
	if err != nil {
		return eris.Wrap(err, "creating a request to the platform")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return eris.Wrapf(err, "sending the request %q to the platform", operation)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrapf(err, "reading the platform's response to %q", operation)
	}
	return eris.Wrapf(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, m), "decoding the platform's response to %q", operation)
}

func documentOf(m *schema.SourceChange) jaypitch.Document {
	if m.GetDeleted() {
		return jaypitch.NewTombstone(m.GetKey(), m.GetRevision())
	}
	return jaypitch.NewDocument(m.GetKey(), m.GetRevision(), m.GetBody())
}
