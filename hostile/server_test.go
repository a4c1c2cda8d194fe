package hostile

import (
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

// TestEndlessResponses guards against a process that ends because a faulty server sends bytes without end: beside the server, or where the client is.
func TestEndlessResponses(t *testing.T) {
	const clients, requests = 60, 3
	for _, b := range []standin.Behaviour{standin.EndlessHead, standin.EndlessLine, standin.EndlessChunk, standin.EndlessOther, standin.EndlessBody} {
		t.Run(string(b), func(t *testing.T) {
			w := newMesh(t, 0, memoryMB, memoryMB)
			_, before := w.Hosts[0].Server.Executions("")
			w.Hosts[0].Server.SetBehaviour(b)
			var done sync.WaitGroup
			for i := range clients {
				done.Go(func() {
					for range requests {
						readResponse(w.Address(i%2, "callers"))
					}
				})
			}
			done.Wait()
			_, after := w.Hosts[0].Server.Executions("")
			t.Logf("%d of %d requests reached the server", after-before, clients*requests)
			is.New(t).True(after-before >= slots)
			w.Hosts[0].Server.SetBehaviour(standin.Normal)
			w.assertWithinBounds(t)
		})
	}
}

// readResponse sends an ordinary request and reads the response up to its end, whatever it is.
func readResponse(address string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+rulePrefix+"a", nil)
	if err != nil {
		return
	}
	r.Host = scenario.MeshDomain
	if a, err := http.DefaultClient.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
}
