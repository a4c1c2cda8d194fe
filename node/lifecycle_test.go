package node

import (
	"testing"

	"github.com/matryer/is"
)

// TestLifecycle applies a sequence of stop reasons and requests, then checks whether new requests are accepted and whether the node may end.
// Steps: +REASON and -REASON add and remove a reason; enter and leave begin and end a request to the backend server, call and end one of a client.
func TestLifecycle(t *testing.T) {
	cases := []struct {
		name                      string
		steps                     []string
		backend, clients, drained bool
	}{
		{"serving", nil, true, true, false},
		{"an operator's drain stops the backend server only", []string{"+operator"}, false, true, false},
		{"drain undone", []string{"+operator", "-operator"}, true, true, false},
		{"one of two reasons removed", []string{"+operator", "+host_list", "-operator"}, false, true, false},
		{"a signal stops the whole node", []string{"+signal"}, false, false, true},
		{"a signal can't be removed", []string{"+signal", "-signal"}, false, false, true},
		{"a backend request in progress delays the end", []string{"enter", "+signal"}, false, false, false},
		{"a client request in progress delays the end", []string{"call", "+signal"}, false, false, false},
		{"the node may end after the last request", []string{"enter", "call", "+signal", "leave", "end"}, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLifecycle(func(StopReason, bool) {})
			for _, s := range c.steps {
				switch s {
				case "enter":
					is.True(l.enterBackend())
				case "call":
					is.True(l.enterClient())
				case "leave":
					l.leaveBackend()
				case "end":
					l.leaveClient()
				default:
					l.set(StopReason(s[1:]), s[0] == '+')
				}
			}
			drained := false
			select {
			case <-l.drained:
				drained = true
			default:
			}
			is.Equal(drained, c.drained)
			is.Equal(l.enterBackend(), c.backend)
			is.Equal(l.enterClient(), c.clients)
		})
	}
}
