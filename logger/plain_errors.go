package logger

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// plainErrors writes errors as their text alone. Zap would add a field with
// the stack of errors that have one, which names the paths of the build.
type plainErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, withoutStacks(fields))
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	plain := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		plain = append(plain, f)
	}
	return plain
}
