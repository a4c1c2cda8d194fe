// Package operator serves a node's HTTP endpoints for operators and for Prometheus.
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

// Node is the state of a node that operators can read, and the draining state that they can change.
type Node interface {
	Status() Status
	Routes() []RouteStatus
	// TeamText returns the accepted text of a team's settings, or false if there is none.
	TeamText(team string) ([]byte, bool)
	// Evidence queries every listed host about a subject until the deadline.
	Evidence(ctx context.Context, s *schema.Subject, deadline time.Time) *evidence.Report
	// Burn queries every listed host for its service-level counts until the deadline.
	Burn(ctx context.Context, deadline time.Time) *burn.Report
	// SetDraining starts or ends the draining of this host's backend server.
	SetDraining(draining bool)
}

type handler struct {
	node Node
}

const (
	defaultTimeout = 3 * time.Second
	maxTimeout     = time.Minute
	maxQueryBytes  = 4 << 10
)

// NewHandler returns the handler of the operators' listener. It panics if a route is not valid.
func NewHandler(n Node, m *Metrics) http.Handler {
	h := &handler{node: n}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Use(limitQuery)
	app.Get("/status", h.status)
	app.Get("/routes", h.routes)
	app.Get("/settings/{team:string}", h.teamText)
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

func (h *handler) teamText(c iris.Context) {
	text, ok := h.node.TeamText(c.Params().Get("team"))
	if !ok {
		writeError(c, iris.StatusNotFound, jaypitch.CodeNoRoute, "the node has accepted no settings of this team")
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
			writeError(c, iris.StatusBadRequest, jaypitch.CodeUsage, "revision must be a positive integer")
			return
		}
		s.Revision = n
	}
	if reason := CheckSubject(s); reason != "" {
		writeError(c, iris.StatusBadRequest, jaypitch.CodeUsage, reason)
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
		writeError(c, iris.StatusBadRequest, jaypitch.CodeUsage, "drain must be true or false")
		return
	}
	h.node.SetDraining(drain)
	_ = c.JSON(h.node.Status())
}

// CheckSubject returns the reason why a subject is not valid, or "" if it is valid.
func CheckSubject(s *schema.Subject) string {
	switch {
	case s.GetBackend() != "" && (s.GetTeam() != "" || s.GetRoute() != "" || s.GetCustomer() != "" || s.GetRevision() != 0):
		return "a backend server can't be combined with a team, route, customer or version"
	case s.GetDataCentre() != "" && (s.GetBackend() != "" || s.GetTeam() != "" || s.GetRoute() != "" || s.GetCustomer() != "" || s.GetRevision() != 0):
		return "a data centre can't be combined with a backend server, team, route, customer or version"
	case s.GetRoute() != "" && s.GetTeam() == "":
		return "a route requires its team"
	case s.GetRevision() != 0 && s.GetTeam() == "":
		return "a version requires its team"
	case s.GetRevision() != 0 && (s.GetRoute() != "" || s.GetCustomer() != ""):
		return "a version can't be combined with a route or customer"
	case s.GetTeam() == "" && s.GetCustomer() == "" && s.GetBackend() == "" && s.GetDataCentre() == "":
		return "a route, customer, backend server, data centre, version or team is needed"
	}
	return ""
}

// deadlineOf returns the deadline that follows from the timeout parameter. If that is not valid, it writes an error response and returns false.
func deadlineOf(c iris.Context) (time.Time, bool) {
	text := c.URLParamDefault("timeout", defaultTimeout.String())
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxTimeout {
		writeError(c, iris.StatusBadRequest, jaypitch.CodeUsage, "timeout must be a positive duration of at most "+maxTimeout.String())
		return time.Time{}, false
	}
	return time.Now().Add(d), true
}

// loopbackOnly rejects requests that don't come from a loopback address.
func loopbackOnly(c iris.Context) {
	host, _, err := net.SplitHostPort(c.Request().RemoteAddr)
	if err == nil {
		if a, err := netip.ParseAddr(host); err == nil && a.IsLoopback() {
			c.Next()
			return
		}
	}
	writeError(c, iris.StatusForbidden, jaypitch.CodeNotLoopback, "requests that change a node are accepted only from its own host")
}

func limitQuery(c iris.Context) {
	if len(c.Request().URL.RawQuery) > maxQueryBytes {
		writeError(c, iris.StatusRequestURITooLong, jaypitch.CodeUsage, "the query string is too long")
		return
	}
	c.Next()
}

func writeError(c iris.Context, status int, code jaypitch.Code, reason string) {
	c.StatusCode(status)
	_ = c.JSON(ErrorResponse{Code: code, Reason: reason})
}
