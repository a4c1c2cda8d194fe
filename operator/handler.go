// Package operator speaks to operators and to Prometheus over HTTP.
package operator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/burn"
	"github.com/jaypitch/jaypitch/evidence"
	"github.com/jaypitch/jaypitch/schema"
)

// Node is what operators may see and change.
type Node interface {
	Status() Status
	Routes() []RouteStatus
	// TeamText returns the accepted text of a team's subtree.
	TeamText(team string) ([]byte, bool)
	// Evidence gathers fresh answers of every listed host until the deadline.
	Evidence(ctx context.Context, s *schema.Subject, deadline time.Time) *evidence.Report
	Burn(ctx context.Context, deadline time.Time) *burn.Report
	// SetDraining stops the work for the backend server of this host, or takes it up again.
	SetDraining(drain bool)
}

type handler struct {
	node Node
}

const (
	defaultTimeout = 3 * time.Second
	maxTimeout     = time.Minute
	maxQueryBytes  = 4 << 10
)

// NewHandler makes the handler of the operators' listener.
func NewHandler(n Node, m *Metrics) http.Handler {
	h := &handler{node: n}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Use(limitQuery)
	app.Get("/status", h.status)
	app.Get("/routes", h.routes)
	app.Get("/settings/{team:string}", h.text)
	app.Get("/evidence", h.evidence)
	app.Get("/burn", h.burn)
	app.Post("/drain", loopbackOnly, h.drain)
	app.Get("/metrics", iris.FromStd(m.handler()))
	if err := app.Build(); err != nil {
		panic(err)
	}
	return app
}

func (h *handler) status(c iris.Context) {
	_ = c.JSON(h.node.Status())
}

func (h *handler) routes(c iris.Context) {
	_ = c.JSON(h.node.Routes())
}

func (h *handler) text(c iris.Context) {
	text, ok := h.node.TeamText(c.Params().Get("team"))
	if !ok {
		fail(c, iris.StatusNotFound, jaypitch.CodeNoRoute, "no subtree of this team is accepted here")
		return
	}
	c.ContentType("text/plain; charset=utf-8")
	_, _ = c.Write(text)
}

func (h *handler) evidence(c iris.Context) {
	s := &schema.Subject{Team: c.URLParam("team"), Route: c.URLParam("route"), Customer: c.URLParam("customer"), Backend: c.URLParam("backend")}
	if text := c.URLParam("revision"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n <= 0 {
			fail(c, iris.StatusBadRequest, jaypitch.CodeUsage, "revision must be a whole number over 0")
			return
		}
		s.Revision = n
	}
	if reason := CheckSubject(s); reason != "" {
		fail(c, iris.StatusBadRequest, jaypitch.CodeUsage, reason)
		return
	}
	deadline, ok := deadlineOf(c)
	if ok {
		_ = c.JSON(h.node.Evidence(c.Request().Context(), s, deadline))
	}
}

func (h *handler) burn(c iris.Context) {
	if deadline, ok := deadlineOf(c); ok {
		_ = c.JSON(h.node.Burn(c.Request().Context(), deadline))
	}
}

func (h *handler) drain(c iris.Context) {
	drain, err := strconv.ParseBool(c.URLParamDefault("drain", "true"))
	if err != nil {
		fail(c, iris.StatusBadRequest, jaypitch.CodeUsage, "drain must be true or false")
		return
	}
	h.node.SetDraining(drain)
	_ = c.JSON(h.node.Status())
}

// CheckSubject returns what is wrong with a subject, or "".
func CheckSubject(s *schema.Subject) string {
	switch {
	case s.GetBackend() != "" && (s.GetTeam() != "" || s.GetRoute() != "" || s.GetCustomer() != "" || s.GetRevision() != 0):
		return "a backend server can't be asked for together with a team, route, customer or version"
	case s.GetRoute() != "" && s.GetTeam() == "":
		return "a route needs its team"
	case s.GetRevision() != 0 && s.GetTeam() == "":
		return "a version needs its team"
	case s.GetRevision() != 0 && (s.GetRoute() != "" || s.GetCustomer() != ""):
		return "a version can't be asked for together with a route or customer"
	case s.GetTeam() == "" && s.GetCustomer() == "" && s.GetBackend() == "":
		return "a route, customer, backend server, version or team is needed"
	}
	return ""
}

// deadlineOf reads the time that an operator is willing to wait.
func deadlineOf(c iris.Context) (time.Time, bool) {
	text := c.URLParamDefault("timeout", defaultTimeout.String())
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxTimeout {
		fail(c, iris.StatusBadRequest, jaypitch.CodeUsage, "timeout must be a duration of at most "+maxTimeout.String())
		return time.Time{}, false
	}
	return time.Now().Add(d), true
}

// loopbackOnly refuses requests from other hosts.
func loopbackOnly(c iris.Context) {
	host, _, err := net.SplitHostPort(c.Request().RemoteAddr)
	if err == nil {
		if a, err := netip.ParseAddr(host); err == nil && a.IsLoopback() {
			c.Next()
			return
		}
	}
	fail(c, iris.StatusForbidden, jaypitch.CodeNotLoopback, "a node is changed from its own host only")
}

func limitQuery(c iris.Context) {
	if len(c.Request().URL.RawQuery) > maxQueryBytes {
		fail(c, iris.StatusRequestURITooLong, jaypitch.CodeUsage, "the query is too long")
		return
	}
	c.Next()
}

func fail(c iris.Context, status int, code jaypitch.Code, reason string) {
	c.StatusCode(status)
	_ = c.JSON(ErrorResponse{Code: code, Reason: reason})
}
