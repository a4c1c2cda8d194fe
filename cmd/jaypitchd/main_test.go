package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = "[sidecar]\nhost = h\ndata_centre = d\nservice = s\nbackend = 127.0.0.1:1\n[listen]\ncallers = 127.0.0.1:2\npeers = 127.0.0.1:3\nready = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n"

func TestSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sidecar.ini")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("missing", func(t *testing.T) {
		is := is.New(t)
		t.Setenv(settingsEnv, file)
		err := run()
		is.True(err != nil)
		is.True(strings.HasPrefix(err.Error(), "211 unreadable"))
	})
	for name, change := range map[string][2]string{
		"truncated file": {validSettings, validSettings[:len(validSettings)/2]},
		"wrong type":     {"backend = 127.0.0.1:1", "backend = seven"},
		"unknown key":    {"host = h", "host = h\nhots = g"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			write(strings.Replace(validSettings, change[0], change[1], 1))
			_, err := (&settingsFile{path: file}).read()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "20"))
		})
	}
	t.Run("a change shows without reading the file", func(t *testing.T) {
		is := is.New(t)
		write(validSettings)
		in := &settingsFile{path: file}
		is.True(in.changed())
		_, err := in.read()
		is.NoErr(err)
		is.True(!in.changed())
		other := file + ".new"
		is.NoErr(os.WriteFile(other, []byte(strings.Replace(validSettings, "service = s", "service = t", 1)), 0o600))
		is.NoErr(os.Chtimes(other, time.Time{}, in.lastInfo.ModTime()))
		is.NoErr(os.Rename(other, file))
		is.True(in.changed())
		_, err = in.read()
		is.NoErr(err)
		write(validSettings[:20])
		is.True(in.changed())
		_, err = in.read()
		is.True(err != nil)
		// An invalid file isn't read again before each request.
		is.True(!in.changed())
		is.NoErr(os.Remove(file))
		is.True(!in.changed())
	})
	t.Run("an invalid file between two valid ones", func(t *testing.T) {
		is := is.New(t)
		write(validSettings)
		in := &settingsFile{path: file}
		s, err := in.read()
		is.NoErr(err)
		is.Equal(s.GetSidecar().GetService(), "s")
		again, err := in.read()
		is.NoErr(err)
		is.True(again == nil)
		write(validSettings[:20])
		_, err = in.read()
		is.True(err != nil)
		write(strings.Replace(validSettings, "service = s", "service = t", 1))
		s, err = in.read()
		is.NoErr(err)
		is.Equal(s.GetSidecar().GetService(), "t")
	})
}

// TestHangupReloads guards against a signal that changes nothing until the next poll of the file.
func TestHangupReloads(t *testing.T) {
	signals, reloaded := make(chan os.Signal, 1), make(chan bool)
	go (&hangups{signals: signals, reload: func() { reloaded <- true }}).run(t.Context())
	for range 2 {
		signals <- syscall.SIGHUP
		<-reloaded
	}
}
