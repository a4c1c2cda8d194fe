// Package source reads the configuration service and host lists of the product's own interface. Both speak HTTP with
// the JSON messages of schema/platform.proto; nothing is ever written to them.
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

// Client is a Source over HTTP.
type Client struct {
	http *http.Client
	base string
	now  func() time.Time
}

// StatusError is an answer other than 200 of the platform.
type StatusError struct {
	Status int
}

const (
	// Teams is the collection of subtrees.
	Teams Collection = "teams"
	// HostLists is the collection of host lists.
	HostLists Collection = "hosts"

	// answerGrace is the time that an answer may take beyond the wait asked for.
	answerGrace = 5 * time.Second
	// maxAnswerBytes bounds an answer: a value and as much again for its coding.
	maxAnswerBytes = 64 << 20
)

var (
	_ jaypitch.Source   = (*Client)(nil)
	_ jaypitch.HostList = (*Client)(nil)
)

// NewClient makes a client for one collection of the platform at an address.
func NewClient(address string, feed Collection, now func() time.Time) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Client{http: &http.Client{Transport: t}, base: fmt.Sprintf("http://%s/v1/%s/", address, feed), now: now}
}

// Error says which status the platform answered.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered %d", e.Status)
}

// Watch returns what changed after a revision.
func (c *Client) Watch(ctx context.Context, after int64, deadline time.Time) (jaypitch.Changes, error) {
	wait := deadline.Sub(c.now())
	ctx, cancel := context.WithTimeout(ctx, wait+answerGrace)
	defer cancel()
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return c.changes(ctx, "watch", q)
}

// List returns every key and its newest revision.
func (c *Client) List(ctx context.Context) (jaypitch.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, answerGrace)
	defer cancel()
	return c.changes(ctx, "list", nil)
}

// Get reads one value.
func (c *Client) Get(ctx context.Context, key string) (jaypitch.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, answerGrace)
	defer cancel()
	m := &schema.SourceChange{}
	if err := c.get(ctx, "value", url.Values{"key": {key}}, m); err != nil {
		return jaypitch.Document{}, err
	}
	return documentOf(m), nil
}

func (c *Client) changes(ctx context.Context, call string, q url.Values) (jaypitch.Changes, error) {
	m := &schema.SourceChanges{}
	if err := c.get(ctx, call, q, m); err != nil {
		return jaypitch.Changes{}, err
	}
	out := jaypitch.Changes{Revision: m.GetRevision(), Compacted: m.GetCompacted()}
	for _, d := range m.GetChanges() {
		out.Documents = append(out.Documents, documentOf(d))
	}
	return out, nil
}

func (c *Client) get(ctx context.Context, call string, q url.Values, m proto.Message) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+call+"?"+q.Encode(), nil)
	if err != nil {
		return eris.Wrap(err, "making a request to the platform")
	}
	a, err := c.http.Do(r)
	if err != nil {
		return eris.Wrapf(err, "calling the platform's %s", call)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return &StatusError{Status: a.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrapf(err, "reading the platform's %s", call)
	}
	return eris.Wrapf(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, m), "decoding the platform's %s", call)
}

func documentOf(m *schema.SourceChange) jaypitch.Document {
	if m.GetDeleted() {
		return jaypitch.NewTombstone(m.GetKey(), m.GetRevision())
	}
	return jaypitch.NewDocument(m.GetKey(), m.GetRevision(), m.GetBody())
}
