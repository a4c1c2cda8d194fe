package main

import (
	"os"
	"runtime"
	"runtime/pprof"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/node"
	"github.com/jaypitch/jaypitch/settings"
)

// nodeCommand runs the node until it is interrupted or terminated.
func nodeCommand() *cobra.Command {
	var file, profile string
	c := &cobra.Command{
		Use:   "node --settings FILE",
		Short: "Run the node beside a backend server",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := readFile(file)
			if err != nil {
				return err
			}
			s, problems := settings.ParseNode(file, text)
			if len(problems) > 0 {
				return problems
			}
			log, err := newLogger(s.GetLog().GetLevel())
			if err != nil {
				return err
			}
			runtime.GOMAXPROCS(int(s.GetNode().GetProcessors()))
			stop, err := startProfile(profile)
			if err != nil {
				return err
			}
			defer stop()
			return node.New(s, log).Run(c.Context())
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of the node")
	c.Flags().StringVar(&profile, "cpu-profile", "", "write a CPU profile of the whole run to this file")
	_ = c.MarkFlagRequired("settings")
	return c
}

// startProfile starts a CPU profile and returns the function that ends it. Without a file it does nothing.
func startProfile(file string) (func(), error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUnreadable, "file %q: %s", file, err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUsage, "CPU profile can't be started: %s", err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

// newLogger returns a logger that writes JSON lines of at least a level to standard error.
func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeNotAllowed, "log level %q is not allowed: %s", level, err)
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(l)
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return c.Build()
}

func readFile(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, jaypitch.Errorf(jaypitch.CodeUnreadable, "file %q: %s", file, err)
	}
	return text, nil
}
