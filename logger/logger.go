// Package logger builds the logger of the process. It writes each event as one
// line of logfmt key=value pairs.
//
// # Usage
//
//	log, err := logger.New("info", os.Stderr)
//	log.Info("host-started", zap.String("host", name))
//
// The message of a log call is the event's name in kebab case.
package logger

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of at least the given level to w. The
// levels are debug, info, warn and error.
func New(level string, w io.Writer) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "event"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), minLevel)
	return zap.New(plainErrorCore{core}), nil
}
