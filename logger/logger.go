// Package logger builds the process's log: one line of key=value pairs for
// each event.
//
// # Usage
//
//	log, err := logger.New("info", os.Stderr)
//	log.Info("host-started", zap.String("host", name))
//
// The message of an event is its name, in kebab case.
package logger

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New gives a log that writes events of at least level to w. Levels are
// debug, info, warn and error.
func New(level string, w io.Writer) (*zap.Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "event"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), lowest)
	return zap.New(plainErrors{core}), nil
}
