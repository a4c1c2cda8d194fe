package connlimit

import "time"

// choice is the outcome for a new connection of a full listener.
type choice int

const (
	refuseNew choice = iota
	closeReading
	closeIdle
)

// slowHead is the time after which a head that isn't complete counts as slow. An ordinary client's head arrives in one or two packets.
const slowHead = 250 * time.Millisecond

// victim decides which connection makes room for a new one at a full listener: one whose head has been incomplete since readingSince, one idle
// since idleSince, or the new one. A zero time means that there is none.
//
// The load pattern: thousands of connections that send nothing, half a head or a single request, between those of ordinary clients.
func victim(readingSince, idleSince, now time.Time) choice {
	switch {
	case !readingSince.IsZero() && now.Sub(readingSince) > slowHead:
		return closeReading
	case !idleSince.IsZero():
		return closeIdle
	case !readingSince.IsZero():
		return closeReading
	}
	return refuseNew
}
