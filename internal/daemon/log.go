package daemon

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// In each logPeriod the first logFirst lines with the same message are
	// written, and then every logThereafter-th.
	logPeriod     = time.Second
	logFirst      = 100
	logThereafter = 100
)

// NewLogger returns a logger that writes JSON lines to standard error. Lines with the
// same message are sampled above logFirst lines per logPeriod, which bounds the volume
// of logged decisions under load.
func NewLogger() (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	logger, err := cfg.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, logPeriod, logFirst, logThereafter)
	}))
	if err != nil {
		return nil, errors.Wrap(err, "logger")
	}
	return logger, nil
}
