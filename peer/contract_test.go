package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/http1"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/schema/schemaconnect"
	"github.com/jaypitch/jaypitch/settings"
)

// fakeReceiver responds to attempts with a function and records the last one.
type fakeReceiver struct {
	respond func(a *jaypitch.Attempt) *jaypitch.Response
	got     *jaypitch.Attempt
}

func (f *fakeReceiver) Serve(_ context.Context, a *jaypitch.Attempt) *jaypitch.Response {
	f.got = a
	return f.respond(a)
}

// truncatedStream is the stream of a truncated response: its Reader returns an error after some bytes.
type truncatedStream struct {
	io.Reader
}

func (truncatedStream) Close() error { return nil }

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("cut") }

func attempt() *jaypitch.Attempt {
	return &jaypitch.Attempt{Request: &jaypitch.Request{Team: "fairs", Route: "filing", Customer: "meadow", Path: "/x/y?z=1&u=%2F", Method: http.MethodPost,
		Header: http.Header{"X-Own": {"1", "2"}, "Connection": {"x-hop"}, "X-Hop": {"gone"}, "Jaypitch-Team": {"forged"}}, Body: []byte("body"),
		Deadline: time.Now().Add(10 * time.Second), Retries: 2, Token: "h.1.2.3"}, Sender: "s", Process: 255, Revision: 7}
}

// sendAttempt sends an attempt through a RequestClient, a socket and a RequestServer.
func sendAttempt(t *testing.T, a *jaypitch.Attempt, respond func(a *jaypitch.Attempt) *jaypitch.Response) (*fakeReceiver, *jaypitch.Response, error) {
	t.Helper()
	f := &fakeReceiver{respond: respond}
	at := time.Now()
	now := func() time.Time { return at }
	a.Deadline = at.Add(10 * time.Second)
	server := httptest.NewServer(NewRequestServer(f, 1<<20, now))
	t.Cleanup(server.Close)
	got, err := NewRequestClient(now).Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), a)
	return f, got, err
}

func TestRequestContract(t *testing.T) {
	t.Run("an attempt arrives as it was sent", func(t *testing.T) {
		is := is.New(t)
		sent := attempt()
		f, _, err := sendAttempt(t, sent, func(*jaypitch.Attempt) *jaypitch.Response { return jaypitch.NewRefusal(jaypitch.CodeShed, "x") })
		is.NoErr(err)
		is.Equal(f.got.Deadline, sent.Deadline)
		is.Equal(f.got.Header["X-Own"], []string{"1", "2"})
		is.Equal(f.got.Header["X-Hop"], nil)
		f.got.Header, sent.Header = nil, nil
		is.Equal(f.got.Request, sent.Request)
		is.Equal(f.got.Process, sent.Process)
		is.Equal(f.got.Revision, sent.Revision)
		is.Equal(f.got.Sender, sent.Sender)
	})
	t.Run("a response arrives as it was sent", func(t *testing.T) {
		is := is.New(t)
		sent := &jaypitch.Response{Code: jaypitch.CodeOK, Status: 418, Header: http.Header{"X-Own": {"1"}}, Body: []byte("answer"),
			LoadReport: jaypitch.LoadReport{Process: 9, Epoch: 8, Load: 0.5, RetryAfterUS: 7, Stopping: true, Revision: 6}}
		_, got, err := sendAttempt(t, attempt(), func(*jaypitch.Attempt) *jaypitch.Response { return sent.Copy() })
		is.NoErr(err)
		is.Equal(got.Header.Get("X-Own"), "1")
		got.Header, sent.Header = nil, nil
		is.Equal(got, sent)
	})
	t.Run("a long response arrives complete", func(t *testing.T) {
		is := is.New(t)
		long := bytes.Repeat([]byte("0123456789"), 100_000)
		_, got, err := sendAttempt(t, attempt(), func(*jaypitch.Attempt) *jaypitch.Response {
			return &jaypitch.Response{Code: jaypitch.CodeOK, Status: 200, Header: http.Header{}, Body: long[:10], Stream: io.NopCloser(bytes.NewReader(long[10:]))}
		})
		is.NoErr(err)
		rest, err := io.ReadAll(got.Stream)
		is.NoErr(err)
		is.True(bytes.Equal(append(got.Body, rest...), long))
		is.NoErr(got.Stream.Close())
	})
	for name, size := range map[string]int{"short": 100, "long": 300_000} {
		t.Run("a truncated "+name+" response fails", func(t *testing.T) {
			is := is.New(t)
			_, got, err := sendAttempt(t, attempt(), func(*jaypitch.Attempt) *jaypitch.Response {
				return &jaypitch.Response{Code: jaypitch.CodeOK, Status: 200, Header: http.Header{}, Stream: truncatedStream{io.MultiReader(bytes.NewReader(make([]byte, size)), failingReader{})}}
			})
			if err == nil {
				_, err = io.ReadAll(got.Stream)
			}
			is.True(err != nil)
		})
	}
	t.Run("a body over the limit is refused and not executed", func(t *testing.T) {
		is := is.New(t)
		a := attempt()
		a.Body = make([]byte, 2<<20)
		f, got, err := sendAttempt(t, a, func(*jaypitch.Attempt) *jaypitch.Response { return jaypitch.NewRefusal(jaypitch.CodeOK, "") })
		is.NoErr(err)
		is.Equal(got.Code, jaypitch.CodeBodyTooLarge)
		is.True(f.got == nil)
	})
	t.Run("a refused connection has sent nothing", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(l.Close())
		assertSent(t, l.Addr().String(), false)
	})
	t.Run("a connection closed during a request may have sent it", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		go (&closer{l}).run()
		assertSent(t, l.Addr().String(), true)
	})
}

// closer accepts one connection, reads a byte and closes it.
type closer struct {
	listener net.Listener
}

func (c *closer) run() {
	conn, err := c.listener.Accept()
	if err == nil {
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
}

func assertSent(t *testing.T, address string, want bool) {
	t.Helper()
	is := is.New(t)
	_, err := NewRequestClient(time.Now).Do(context.Background(), address, attempt())
	var e *http1.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Sent, want)
}

func TestRequestServerRefuses(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	NewRequestServer(&fakeReceiver{}, 10, time.Now).ServeHTTP(w, httptest.NewRequest(http.MethodGet, RequestPath+"/x", nil))
	is.Equal(w.Header().Get(jaypitch.HeaderCode), "117")
}

// fakeLocal is a LocalNode with a replica.
type fakeLocal struct {
	host                string
	process             uint64
	replica             *settings.Replica
	mu                  sync.Mutex
	confirmed           bool
	confirmationChanged chan struct{}
}

// newLocal returns a confirmed node with an empty replica.
func newLocal(host string, process uint64) *fakeLocal {
	return &fakeLocal{host: host, process: process, replica: settings.NewReplica(time.Now), confirmed: true, confirmationChanged: make(chan struct{})}
}

func (l *fakeLocal) Sender() *schema.Sender {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &schema.Sender{Host: l.host, Process: l.process, Confirmed: l.confirmed, StateDigest: l.replica.Digest()}
}
func (l *fakeLocal) ConfirmationChanged() <-chan struct{} { return l.confirmationChanged }
func (l *fakeLocal) Find(*schema.Subject) evidence.Finding {
	return evidence.Finding{Host: l.host, Revision: 3, Confirmed: true, LastRequestUS: -1}
}
func (l *fakeLocal) Unlisted() []*schema.Target { return nil }
func (l *fakeLocal) BurnCounts() []burn.Count {
	return []burn.Count{{Service: "s", Rank: "r", WindowUS: 1, Good: 2, Bad: 1}}
}
func (l *fakeLocal) StopSending(context.Context, *schema.Sender) error { return nil }
func (l *fakeLocal) RecordRequester(*schema.Sender)                    {}

// serveControl runs the control server of a node on a loopback socket and returns its address.
func serveControl(t *testing.T, l *fakeLocal) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewPeerHandler(NewServer(l, l.replica, NewClients(&Traffic{}), time.Now), HandlerOptions()...))
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func document(revision int64, extra string) jaypitch.Document {
	return jaypitch.NewDocument("teams/fairs", revision, []byte("[team]\nname = fairs\n"+extra))
}

func TestControlContract(t *testing.T) {
	ctx := context.Background()
	l := newLocal("a", 5)
	l.replica.Merge(document(1, ""))
	client := NewClients(&Traffic{}).To(serveControl(t, l))
	poll := func(r *schema.PollRequest) *schema.PollResponse {
		t.Helper()
		a, err := client.Poll(ctx, connect.NewRequest(r))
		if err != nil {
			t.Fatal(err)
		}
		return a.Msg
	}
	t.Run("an unknown cursor returns all versions", func(t *testing.T) {
		is := is.New(t)
		r := poll(&schema.PollRequest{Sender: &schema.Sender{}})
		is.True(r.GetFull())
		is.Equal(len(r.GetVersions()), 1)
	})
	t.Run("an unknown cursor with the same digest returns no versions", func(t *testing.T) {
		is := is.New(t)
		r := poll(&schema.PollRequest{Sender: &schema.Sender{StateDigest: l.replica.Digest()}})
		is.True(!r.GetFull())
		is.Equal(len(r.GetVersions()), 0)
	})
	t.Run("a poll ends at a change", func(t *testing.T) {
		is := is.New(t)
		_, cursor := l.replica.Changed()
		l.replica.Merge(document(2, ";\n"))
		r := poll(&schema.PollRequest{Sender: &schema.Sender{Confirmed: true}, Process: 5, Cursor: cursor, WaitUs: 1e7})
		is.Equal(r.GetVersions()[0].GetRevision(), int64(2))
	})
	t.Run("a poll of an unconfirmed node ends when the parent is confirmed", func(t *testing.T) {
		is := is.New(t)
		_, cursor := l.replica.Changed()
		is.True(poll(&schema.PollRequest{Sender: &schema.Sender{}, Process: 5, Cursor: cursor, WaitUs: 1e7}).GetSender().GetConfirmed())
	})
	t.Run("a fetch makes two states equal, by delta if possible", func(t *testing.T) {
		is := is.New(t)
		child := newLocal("b", 6)
		child.replica.Merge(document(1, ""))
		versions, _, _ := l.replica.ChangedSince(0)
		is.NoErr(NewFetcher(child.replica).Fetch(ctx, client, versions))
		is.Equal(child.replica.Digest(), l.replica.Digest())
	})
	t.Run("a tombstone is fetched too", func(t *testing.T) {
		is := is.New(t)
		child := newLocal("b", 6)
		child.replica.Merge(document(1, ""))
		l.replica.Merge(jaypitch.NewTombstone("teams/fairs", 9))
		versions, _, _ := l.replica.ChangedSince(0)
		is.NoErr(NewFetcher(child.replica).Fetch(ctx, client, versions))
		e, _ := child.replica.Entry("teams/fairs")
		is.True(e.Document.Deleted)
	})
	t.Run("a version that the peer announces but does not return is an error", func(t *testing.T) {
		child := newLocal("b", 6)
		err := NewFetcher(child.replica).Fetch(ctx, client, []*schema.Version{{Key: "teams/other", Revision: 1}})
		is.New(t).True(err != nil)
	})
	t.Run("a full body that does not match its announced digest is an error", func(t *testing.T) {
		is := is.New(t)
		d := document(3, "")
		f := NewFetcher(settings.NewReplica(time.Now))
		v := &schema.Version{Key: d.Key, Revision: 3, Digest: d.Digest[:]}
		is.NoErr(f.mergeBodies([]*schema.Body{{Version: v, Text: d.Text}}))
		is.True(f.mergeBodies([]*schema.Body{{Version: v, Text: append(d.Text, '\n')}}) != nil)
		is.Equal(f.CorruptBodies(), int64(1))
	})
	t.Run("a fetch beyond the rate limit for full bodies returns a retry-after", func(t *testing.T) {
		is := is.New(t)
		s := NewServer(l, l.replica, NewClients(&Traffic{}), time.Now)
		l.replica.Merge(document(10, strings.Repeat(";\n", 400_000)))
		var wait int64
		for range 40 {
			r, err := s.Fetch(ctx, connect.NewRequest(&schema.FetchRequest{Items: []*schema.FetchItem{{Key: "teams/fairs", Revision: 10}}}))
			is.NoErr(err)
			wait = r.Msg.GetRetryAfterUs()
		}
		is.True(wait > 0)
	})
}

func TestGather(t *testing.T) {
	is := is.New(t)
	var targets []*schema.Target
	locals := make([]*fakeLocal, 30)
	for i := range locals {
		locals[i] = newLocal(string(rune('A'+i)), uint64(i))
		targets = append(targets, &schema.Target{Host: locals[i].host, Address: serveControl(t, locals[i])})
	}
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(dead.Close())
	targets[4].Address, targets[17].Address = dead.Addr().String(), dead.Addr().String()
	root := NewServer(locals[0], locals[0].replica, NewClients(&Traffic{}), time.Now)
	t.Run("evidence of all hosts but the unresponsive", func(t *testing.T) {
		is := is.New(t)
		r := root.GatherEvidence(context.Background(), &schema.EvidenceRequest{Subject: &schema.Subject{Team: "x"}, Targets: targets, TimeLeftUs: 2e7})
		is.Equal(len(r.GetGroups()), 1)
		is.Equal(evidence.HostCount(r.GetGroups()[0]), 28)
		is.Equal(len(r.GetExceptions()), 2)
		is.Equal(r.GetExceptions()[0].GetHost(), targets[4].GetHost())
		is.Equal(r.GetExceptions()[1].GetHost(), targets[17].GetHost())
	})
	t.Run("counts of all hosts but the unresponsive", func(t *testing.T) {
		is := is.New(t)
		r := root.GatherBurn(context.Background(), &schema.BurnRequest{Targets: targets, TimeLeftUs: 2e7})
		is.Equal(r.GetCounts()[0].GetGood(), int64(56))
		is.Equal(len(r.GetSilent()), 2)
	})
}

func FuzzBody(f *testing.F) {
	f.Add([]byte("[a]\n"), []byte("0123456789abcdef"), int32(0), int32(1), []byte("x"))
	f.Fuzz(func(t *testing.T, text, digest []byte, from, count int32, piece []byte) {
		replica := settings.NewReplica(time.Now)
		replica.Merge(document(1, ""))
		e, _ := replica.Entry("teams/fairs")
		b := &schema.Body{Version: &schema.Version{Key: "teams/fairs", Revision: 2, Digest: digest}, Text: text, BaseDigest: e.Document.Digest[:],
			Pieces: []*schema.Piece{{CopyFrom: from, CopyCount: count, Text: piece}}}
		d, err := NewFetcher(replica).document(b)
		if err == nil && !bytes.Equal(d.Digest[:], digest) {
			t.Fatalf("a body with digest %x was accepted for digest %x", d.Digest, digest)
		}
	})
}
