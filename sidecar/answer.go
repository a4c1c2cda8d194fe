package sidecar

import (
	"go.uber.org/zap"

	"github.com/jaypitch/jaypitch/mesh"
)

// recordAnswer records which server is at an address that several entries of the store name, and logs it if that is new.
func (c *Sidecar) recordAnswer(a mesh.Answer) {
	if !c.replica.RecordAnswer(a, c.now()) || !c.logBudget.Allow("answering", c.now()) {
		return
	}
	c.log.Warn("server answers at a contested address", zap.String("address", a.Address), zap.String("expected", a.Expected),
		zap.String("server", c.replica.Table().Answering(a.Address)))
}
