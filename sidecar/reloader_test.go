package sidecar

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/logline"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// TestCallingServiceFollowsSettings guards against requests that carry the name of the service that was on this host before, after its address went
// to a server of another service: until the next poll of the file, which was once a second, and after a signal that was ignored.
func TestCallingServiceFollowsSettings(t *testing.T) {
	is := is.New(t)
	settings := func(service string) *schema.SidecarSettings {
		return &schema.SidecarSettings{Sidecar: &schema.SidecarSection{Service: service}}
	}
	now := time.Unix(5000, 0)
	c := &Sidecar{now: func() time.Time { return now }, log: zap.NewNop(), logBudget: logline.NewBudget(), replica: mesh.NewReplica()}
	c.settings.Store(settings("before"))
	var file *schema.SidecarSettings
	var broken error
	reads := 0
	c.reloader = &reloader{sidecar: c, load: func() (*schema.SidecarSettings, error) {
		reads++
		next := file
		file = nil
		return next, broken
	}}
	WithSettingsCheck(func() bool { return file != nil })(c)
	is.Equal(c.localState().Service, "before")
	is.Equal(reads, 0)

	file = settings("after")
	now = now.Add(checkInterval)
	is.Equal(c.localState().Service, "after")
	is.Equal(reads, 1)

	file = settings("signalled")
	c.Reload()
	is.Equal(c.localState().Service, "signalled")

	file, broken = settings("invalid"), errors.New("truncated")
	now = now.Add(checkInterval)
	is.Equal(c.localState().Service, "signalled")
}
