// Command jaypitchd is the sidecar of a mesh on the users' platform, without the command line of jaypitch.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/logline"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/settings"
	"github.com/jaypitch/jaypitch/sidecar"
)

// source reads the settings file again when its text has changed.
type source struct {
	file string
	text []byte
}

const (
	// settingsVariable names the environment variable with the path of the settings file.
	settingsVariable = "JAYPITCH_SETTINGS"
	exitFailed       = 2
	// memoryShare is the part of the memory allowed that the collector aims to stay under, in hundredths.
	memoryShare = 70
	megabyte    = 1 << 20
	// collectorPercent is how much the heap grows between collections; the operators price memory above processor time.
	collectorPercent = 50
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stdout, err)
		os.Exit(exitFailed)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// The settings file is looked at every second; the signal for it must not end the process.
	signal.Ignore(syscall.SIGHUP)
	in := &source{file: os.Getenv(settingsVariable)}
	s, err := in.read()
	if err != nil {
		return err
	}
	// One thread of Go code suits a third of a core; more would only take turns.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(s.GetSidecar().GetMemoryMb() * megabyte * memoryShare / 100)
	lines := logline.NewWriter(os.Stdout)
	log, err := newLogger(lines, s.GetLog().GetLevel())
	if err != nil {
		return err
	}
	c, err := sidecar.New(s, in.read, sidecar.Platform{HeaderNames: platform.HeaderNames, ReadyPath: platform.ReadyPath, NewSource: newSource}, log, lines.Dropped)
	if err != nil {
		return err
	}
	err = c.Run(ctx)
	_ = log.Sync() // lines that nobody reads are lost at the end too
	return err
}

func newSource(address string, now func() time.Time, refuse func(*jaypitch.Error)) jaypitch.MeshSource {
	return platform.NewClient(address, now, refuse)
}

// read returns the settings, or nil if the file's text is the same as at the last good reading.
func (s *source) read() (*schema.SidecarSettings, error) {
	text, err := os.ReadFile(s.file)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUnreadable, "settings file %q of variable %s: %s", s.file, settingsVariable, err)
	}
	if s.text != nil && bytes.Equal(text, s.text) {
		return nil, nil
	}
	parsed, problems := settings.ParseSidecar(s.file, text)
	if len(problems) > 0 {
		return nil, problems
	}
	s.text = text
	return parsed, nil
}

func newLogger(out zapcore.WriteSyncer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeNotAllowed, "log level %q: %s", level, err)
	}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e.EncodeDuration = zapcore.SecondsDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), out, l)), nil
}
