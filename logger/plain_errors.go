package logger

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// plainErrorCore writes errors as their message only. For errors that carry a
// stack trace, Zap would add a field with it, which exposes the file paths of
// the build machine.
type plainErrorCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c plainErrorCore) With(fields []zapcore.Field) zapcore.Core {
	return plainErrorCore{c.Core.With(errorsAsText(fields))}
}

// Check implements zapcore.Core.
func (c plainErrorCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrorCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsAsText(fields))
}

// errorsAsText replaces error fields by string fields with the error's message.
func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	plain := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		plain = append(plain, f)
	}
	return plain
}
