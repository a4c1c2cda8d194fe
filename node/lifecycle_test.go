package node

import (
	"testing"

	"github.com/matryer/is"
)

// TestLifecycle takes a node through signs of a stop, in order; "quiet" is whether it may end.
func TestLifecycle(t *testing.T) {
	cases := []struct {
		name                      string
		steps                     []string
		backend, callers, isQuiet bool
	}{
		{"serving", nil, true, true, false},
		{"operator's drain stops the backend server alone", []string{"+operator"}, false, true, false},
		{"drain undone", []string{"+operator", "-operator"}, true, true, false},
		{"one of two reasons ends", []string{"+operator", "+host_list", "-operator"}, false, true, false},
		{"a signal stops all", []string{"+signal"}, false, false, true},
		{"a signal is final", []string{"+signal", "-signal"}, false, false, true},
		{"work in progress holds the end up", []string{"enter", "+signal"}, false, false, false},
		{"a call in progress holds the end up", []string{"call", "+signal"}, false, false, false},
		{"the end comes with the last work", []string{"enter", "call", "+signal", "leave", "end"}, false, false, true},
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
					is.True(l.enterCaller())
				case "leave":
					l.leaveBackend()
				case "end":
					l.leaveCaller()
				default:
					l.set(StopReason(s[1:]), s[0] == '+')
				}
			}
			quiet := false
			select {
			case <-l.quiet:
				quiet = true
			default:
			}
			is.Equal(quiet, c.isQuiet)
			is.Equal(l.enterBackend(), c.backend)
			is.Equal(l.enterCaller(), c.callers)
		})
	}
}
