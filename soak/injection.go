package soak

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch/standin"
)

// injection carries out one fault.
type injection struct {
	session *session
	fault   Fault
	host    *host
}

// refusedEvery is the step between the hosts that the store refuses at once.
const refusedEvery = 3

// run injects the fault, waits for its length and ends it. It ends the fault also if the context ends.
func (j *injection) run(ctx context.Context) {
	switch f := j.fault; f.Kind {
	case Pause, Kill, Restart:
		name := fmt.Sprintf("%s at %s", f, f.At)
		j.session.record(func(c *Checker, now time.Time) { c.DisturbProcess(name, f.Host, now) })
		j.runProcess(ctx)
		j.session.record(func(c *Checker, now time.Time) { c.Calm(name, now) })
	case Misbehave, Slow, Replace, TurnCold, Drain, Remove, Leave, NameLimit:
		j.runServer(ctx)
	case Delay, Reset, CutOneWay, Silence:
		j.disturb(f.Host, func() { j.runLink(ctx) })
	case Compact:
		j.session.mesh.Store.Compact()
	case Restore, FailStore, SlowStore, StallStore, ResetStore, RefuseHosts:
		j.disturb(AllHosts, func() { j.runStore(ctx) })
	case Evacuate:
		j.evacuate(ctx)
	case Configure:
		j.session.configure()
	case EndlessHead, IdleClients:
		line := ""
		if f.Kind == EndlessHead {
			line = "POST /read/a HTTP/1.1\r\n"
		}
		ctx, cancel := context.WithTimeout(ctx, f.For)
		defer cancel()
		hostile(ctx, j.session.mesh.Address(f.Host, "callers"), hostileClients, line)
	}
}

// disturb tells the checker of a disturbance of a host, or of all.
func (j *injection) disturb(host int, run func()) {
	name := fmt.Sprintf("%s at %s", j.fault, j.fault.At)
	j.session.record(func(c *Checker, now time.Time) { c.Disturb(name, host, now) })
	run()
	j.session.record(func(c *Checker, now time.Time) { c.Calm(name, now) })
}

func (j *injection) runProcess(ctx context.Context) {
	j.host.process.Lock()
	defer j.host.process.Unlock()
	m, i := j.session.mesh, j.fault.Host
	switch j.fault.Kind {
	case Pause:
		_ = m.Pause(i)
		pause(ctx, j.fault.For)
		_ = m.Resume(i)
		return
	case Kill:
		_ = m.Kill(i)
	case Restart:
		pause(ctx, time.Until(j.host.startedAt.Add(handlerTime)))
		j.session.stopSidecar(i)
	}
	pause(ctx, j.fault.For/4)
	if ctx.Err() == nil {
		j.session.startSidecar(i)
	}
}

func (j *injection) runServer(ctx context.Context) {
	i := j.fault.Host
	server := j.server()
	switch j.fault.Kind {
	case Misbehave:
		server.SetBehaviour(j.fault.Behaviour)
		pause(ctx, j.fault.For)
		j.server().SetBehaviour(standin.Normal)
	case Slow:
		server.SetServiceTime(slowService)
		pause(ctx, j.fault.For)
		j.server().SetServiceTime(serviceTime)
	case NameLimit:
		server.NameLimit(strconv.Itoa(namedLimit))
		j.session.record(func(c *Checker, now time.Time) { c.Limit(i, namedLimit, now) })
		pause(ctx, j.fault.For)
		j.session.record(func(c *Checker, now time.Time) { c.Limit(i, -1, now) })
		server.NameLimit("")
	case TurnCold:
		told := time.Now()
		server.ServeHealthUntil(healthPath, told.Add(j.fault.For))
		j.session.list(i, func(e *standin.ServerEntry) { e.Cold = j.fault.For })
		// The server counts as cold from the time at which its sidecar has to know.
		if pause(ctx, 2*time.Second+j.session.config.Slack) {
			j.session.record(func(c *Checker, now time.Time) { c.Cold(i, now, told.Add(j.fault.For)) })
		}
		pause(ctx, time.Until(told.Add(j.fault.For)))
		j.session.list(i, func(e *standin.ServerEntry) { e.Cold = 0 })
	case Drain, Leave:
		if j.fault.Kind == Leave {
			server.Leave()
			pause(ctx, time.Second)
		}
		j.session.list(i, func(e *standin.ServerEntry) { e.Draining = true })
		j.closed(ctx)
		if j.fault.Kind == Leave {
			j.replace(ctx)
			return
		}
		j.session.list(i, func(e *standin.ServerEntry) { e.Draining = false })
	case Remove:
		j.remove()
		j.closed(ctx)
		j.session.list(i, func(*standin.ServerEntry) {})
	case Replace:
		j.replace(ctx)
	}
}

// server returns the server of the host.
func (j *injection) server() *standin.MeshServer {
	j.session.storeMu.Lock()
	defer j.session.storeMu.Unlock()
	return j.session.mesh.Hosts[j.fault.Host].Server
}

// closed checks that the server gets nothing for the length of the fault.
func (j *injection) closed(ctx context.Context) {
	j.session.record(func(c *Checker, now time.Time) { c.Close(j.fault.Host, now) })
	pause(ctx, j.fault.For)
	j.session.record(func(c *Checker, now time.Time) { c.Open(j.fault.Host, now) })
}

func (j *injection) remove() {
	j.session.storeMu.Lock()
	defer j.session.storeMu.Unlock()
	j.host.listed = false
	j.session.mesh.Store.RemoveServer(j.host.entry.ID)
}

// replace starts another server at the address, with another ID, which is cold.
func (j *injection) replace(ctx context.Context) {
	j.remove()
	i := j.fault.Host
	j.session.storeMu.Lock()
	now := time.Now()
	j.session.record(func(c *Checker, _ time.Time) { c.Cold(i, now, now.Add(coldTime)) })
	err := j.session.mesh.RestartServer(i, slots, serviceTime)
	id := j.session.mesh.Hosts[i].ServerID
	j.session.storeMu.Unlock()
	if err != nil {
		panic(err) // the address was in use by this process alone
	}
	j.session.list(i, func(e *standin.ServerEntry) {
		e.ID, e.Cold, e.Draining, e.BornMS, e.Seq = id, coldTime, false, now.UnixMilli(), 0
	})
	pause(ctx, time.Until(now.Add(coldTime)))
	j.session.list(i, func(e *standin.ServerEntry) { e.Cold = 0 })
}

func (j *injection) runLink(ctx context.Context) {
	p := j.host.proxies[j.fault.Link]
	switch j.fault.Kind {
	case Reset:
		p.reset()
		return
	case Delay:
		p.setFault(linkDelay, [2]bool{})
	case CutOneWay:
		direction := int(j.fault.For) % 2
		lost := [2]bool{}
		lost[direction] = true
		p.setFault(0, lost)
	case Silence:
		p.setFault(0, [2]bool{true, true})
	}
	pause(ctx, j.fault.For)
	p.setFault(0, [2]bool{})
}

func (j *injection) runStore(ctx context.Context) {
	s := j.session.mesh.Store
	switch j.fault.Kind {
	case Restore:
		old := s.Copy()
		pause(ctx, j.fault.For)
		s.Restore(old)
		pause(ctx, rewriteDelay)
		j.rewrite()
		return
	case FailStore:
		s.SetFault(standin.StoreFault{Status: 503})
	case SlowStore:
		s.SetFault(standin.StoreFault{Delay: storeDelay})
	case StallStore:
		s.SetFault(standin.StoreFault{StallWatches: true})
	case ResetStore:
		s.SetFault(standin.StoreFault{Reset: true})
	case RefuseHosts:
		refused := map[string]bool{}
		for i := j.fault.Host % refusedEvery; i < len(j.session.hosts); i += refusedEvery {
			refused[j.session.hostIP(i)] = true
		}
		s.SetFault(standin.StoreFault{Status: 403, AppliesTo: func(remote string) bool {
			ip, _, _ := strings.Cut(remote, ":")
			return refused[ip]
		}})
	}
	pause(ctx, j.fault.For)
	s.SetFault(standin.StoreFault{})
}

// rewrite writes what the store should hold, as operators and servers do after a restore.
func (j *injection) rewrite() {
	r := j.session
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	r.putConfig()
	for _, h := range r.hosts {
		if !h.listed {
			r.mesh.Store.RemoveServer(h.entry.ID)
			continue
		}
		// The entry of a server that was replaced meanwhile would expire.
		for id := h.entry.ID; strings.HasSuffix(id, "x"); {
			id = strings.TrimSuffix(id, "x")
			r.mesh.Store.RemoveServer(id)
		}
		h.entry.Seq++
		r.mesh.Store.PutServerEntry(h.entry)
	}
	for _, d := range DataCentres {
		if r.evacuated[d] {
			r.mesh.Store.Evacuate(d)
		} else {
			r.mesh.Store.EndEvacuation(d)
		}
	}
}

func (j *injection) evacuate(ctx context.Context) {
	d := DataCentres[j.fault.Host%len(DataCentres)]
	j.set(d, true)
	if j.fault.For%2 == 0 {
		// Half of the evacuations are taken back and requested again at once.
		j.set(d, false)
		j.set(d, true)
	}
	pause(ctx, j.fault.For)
	j.set(d, false)
}

// set writes or removes the evacuation of a data centre.
func (j *injection) set(dataCentre string, evacuated bool) {
	r := j.session
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	r.evacuated[dataCentre] = evacuated
	if evacuated {
		r.mesh.Store.Evacuate(dataCentre)
		r.record(func(c *Checker, now time.Time) { c.Evacuate(dataCentre, now) })
		return
	}
	r.record(func(c *Checker, now time.Time) { c.Return(dataCentre, now) })
	r.mesh.Store.EndEvacuation(dataCentre)
}
