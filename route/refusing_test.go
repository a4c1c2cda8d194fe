package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// TestRefusingServerAttractsRequests guards against requests to a server that refuses all of them, whose slots are free, while the other one is full.
func TestRefusingServerAttractsRequests(t *testing.T) {
	is := is.New(t)
	picker, s := newMeshPicker(), meshService(2, 0)
	mean := 50 * time.Millisecond
	refused := jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeFailing}
	full := jaypitch.MeshResponse{Execution: jaypitch.NotExecuted, Code: jaypitch.CodeOverloaded, RetryAfter: 60 * time.Millisecond}
	finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean, Refusing: true}, refused, start)
	finishRequest(picker, s.Servers[1], jaypitch.MeshLoadReport{InProgress: 10, Mean: mean}, full, start)
	is.True(picker.Pick(s, pickRequest, start).Server == nil)
	at := start.Add(minRefusingHoldOff)
	request := pickRequest
	is.Equal(picker.Pick(s, request, at).Server.GetId(), "here_0") // its trial
	request.NoTrial = true
	is.Equal(picker.Pick(s, request, at).Server.GetId(), "here_1")
	finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean, Refusing: true}, refused, at)
	is.Equal(picker.Pick(s, pickRequest, at.Add(minRefusingHoldOff)).Server.GetId(), "here_1") // held off for twice the time now
	finishRequest(picker, s.Servers[0], jaypitch.MeshLoadReport{Mean: mean}, jaypitch.MeshResponse{Execution: jaypitch.Executed, Status: 200}, at)
	is.Equal(picker.Pick(s, request, at.Add(3*minRefusingHoldOff)).Server.GetId(), "here_0")
}
