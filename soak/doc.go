// Package soak runs sidecars as processes under series of overlapping faults, drawn from a seed, and checks what clients, servers and operators
// see on their sockets against the promises of docs/design/6-overload-and-recovery.md. Checker and Plan decide, without clock, socket or goroutine;
// Run carries a plan out.
package soak
