package main

import "github.com/jaypitch/jaypitch/scenario"

func benchScale(scenario.Binaries) error { return nil }
func benchAdded(scenario.Binaries) error { return nil }
func benchFlood(scenario.Binaries) error { return nil }
func floodFairs() []byte                 { return []byte(fairs) }
