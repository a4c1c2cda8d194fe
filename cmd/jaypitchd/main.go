// Command jaypitchd runs the sidecar of a mesh on the platform of package platform. It takes no arguments, unlike the jaypitch command:
// an environment variable holds the path of its settings file.
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
	"github.com/jaypitch/jaypitch/memory"
	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/schema"
	"github.com/jaypitch/jaypitch/settings"
	"github.com/jaypitch/jaypitch/sidecar"
)

// settingsFile reads the settings and detects whether the text of their file has changed.
type settingsFile struct {
	path     string
	lastText []byte
	// lastInfo describes the file as it was just before the last read; nil before the first.
	lastInfo os.FileInfo
}

// hangups reloads the settings at each signal.
type hangups struct {
	signals <-chan os.Signal
	reload  func()
}

const (
	// settingsEnv is the environment variable that holds the path of the settings file.
	settingsEnv = "JAYPITCH_SETTINGS"
	exitFailed  = 2
	// gcPercent is how much the heap grows between garbage collections. It is below Go's default of 100 because memory costs the operators
	// more than processor time.
	gcPercent = 50
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
	// One pending signal is enough: it makes the file be read after all signals before.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	file := &settingsFile{path: os.Getenv(settingsEnv)}
	s, err := file.read()
	if err != nil {
		return err
	}
	// The sidecar gets a third of a core, so further threads of Go code would only be time-sliced.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memory.LimitsOf(s.GetSidecar().GetMemoryMb()).Runtime)
	logWriter := logline.NewWriter(os.Stdout)
	log, err := newLogger(logWriter, s.GetLog().GetLevel())
	if err != nil {
		return err
	}
	c, err := sidecar.New(s, file.read, sidecar.Platform{HeaderNames: platform.HeaderNames, ReadyPath: platform.ReadyPath, NewSource: newSource, DecodeNotice: platform.DecodeNotice, DecodeCold: platform.DecodeCold}, log, logWriter.Dropped,
		sidecar.WithSettingsCheck(file.changed))
	if err != nil {
		return err
	}
	go (&hangups{signals: hup, reload: c.Reload}).run(ctx)
	err = c.Run(ctx)
	_ = log.Sync() // lines that are still not read after the writer's timeout are dropped
	return err
}

func newSource(address string, now func() time.Time, onUndecodable func(*jaypitch.Error)) jaypitch.MeshSource {
	return platform.NewClient(address, now, onUndecodable)
}

// read returns the settings, or nil if the text of the file is the same as at the last successful read.
func (s *settingsFile) read() (*schema.SidecarSettings, error) {
	// A change during the read makes the file look changed afterwards.
	s.lastInfo, _ = os.Stat(s.path)
	text, err := os.ReadFile(s.path)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUnreadable, "reading settings file %q (environment variable %s): %s", s.path, settingsEnv, err)
	}
	if s.lastText != nil && bytes.Equal(text, s.lastText) {
		return nil, nil
	}
	parsed, problems := settings.ParseSidecar(s.path, text)
	if len(problems) > 0 {
		return nil, problems
	}
	s.lastText = text
	return parsed, nil
}

// changed reports whether the file is another one than at the last read, or has another size or time of modification.
func (s *settingsFile) changed() bool {
	now, err := os.Stat(s.path)
	if err != nil {
		return false // the file is being replaced, or the next read reports the error
	}
	last := s.lastInfo
	return last == nil || !os.SameFile(last, now) || last.Size() != now.Size() || !last.ModTime().Equal(now.ModTime())
}

func (h *hangups) run(ctx context.Context) {
	for {
		select {
		case <-h.signals:
			h.reload()
		case <-ctx.Done():
			return
		}
	}
}

func newLogger(out zapcore.WriteSyncer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeNotAllowed, "parsing log level %q: %s", level, err)
	}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	e.EncodeDuration = zapcore.SecondsDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), out, l)), nil
}
