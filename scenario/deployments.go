package scenario

import (
	"fmt"
)

// KesongPerya places the hosts of the entry and of the ledger service over four data centres.
func KesongPerya(f *Fleet) {
	place(f, []string{"manila", "cebu", "davao", "iloilo"}, "entry", 8, 13, 120)
	place(f, []string{"manila", "cebu", "davao", "iloilo"}, "ledger", 4, 13, 120)
}

// FiloSolidario places the hosts of the booking and of the billing service over three data centres.
func FiloSolidario(f *Fleet) {
	place(f, []string{"centro", "cerro", "canelones"}, "booking", 7, 12, 110)
	place(f, []string{"centro", "cerro", "canelones"}, "billing", 3, 12, 110)
}

func place(f *Fleet, centres []string, service string, hosts, slots, connections int) {
	for i := range hosts {
		f.Add(fmt.Sprintf("%s_%d", service, i+1), centres[i%len(centres)], service, slots, connections)
	}
}
