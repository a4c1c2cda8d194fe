package route

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// TestExplain guards against an explanation whose terms don't add up to the cost by which the server is picked, or that changes the picker.
func TestExplain(t *testing.T) {
	is := is.New(t)
	picker, s := newMeshPicker(), meshService(3, 1)
	mean := 50 * time.Millisecond
	executed := jaypitch.MeshResponse{Execution: jaypitch.Executed, ServiceTime: mean, NetworkTime: 2 * time.Millisecond, Status: 200}
	finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{InProgress: 11, Mean: mean}, executed, start)
	finishRequest(picker, s.Servers[1], jaypitch.MeshLoadReport{Mean: mean, Refusing: true}, jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeShed}, start)
	finishRequest(picker, s.Servers[2], jaypitch.MeshLoadReport{Mean: mean, Failing: 0.5}, executed, start)
	got := picker.Explain(s, pickRequest, start)
	is.Equal(len(got), 4)
	for i, c := range got {
		is.Equal(c.Server, s.Servers[i].GetId())
		is.True(math.Abs(c.MeanMS+c.LoadMS+c.NetworkMS+c.LimitMS+c.TransferMS+c.OtherMS-c.CostMS) < 1e-6)
		is.Equal(c.Skipped != "", i == 1)
		is.Equal(c.RetryAfterMS > 0, i == 1)
		is.Equal(c.TransferMS > 0, i == 3)
		is.Equal(c.OtherMS > 0, i == 2)
	}
	is.Equal(got[0].MeanMS, 50.0)
	is.True(got[0].Load > 1)
	is.Equal(got[0].NetworkMS, 2.0)
	is.Equal(picker.Explain(s, pickRequest, start), got)
}
