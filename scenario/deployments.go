package scenario

import (
	"fmt"
)

// KesongPerya adds the hosts of the entry and ledger services to a fleet, spread over four data centres.
func KesongPerya(f *Fleet) {
	addHosts(f, []string{"manila", "cebu", "davao", "iloilo"}, "entry", 8, 13, 120)
	addHosts(f, []string{"manila", "cebu", "davao", "iloilo"}, "ledger", 4, 13, 120)
}

// FiloSolidario adds the hosts of the booking and billing services to a fleet, spread over three data centres.
func FiloSolidario(f *Fleet) {
	addHosts(f, []string{"centro", "cerro", "canelones"}, "booking", 7, 12, 110)
	addHosts(f, []string{"centro", "cerro", "canelones"}, "billing", 3, 12, 110)
}

func addHosts(f *Fleet, dataCentres []string, service string, hosts, slots, connections int) {
	for i := range hosts {
		f.Add(fmt.Sprintf("%s_%d", service, i+1), dataCentres[i%len(dataCentres)], service, slots, connections)
	}
}
