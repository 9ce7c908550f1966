package logger_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/logger"
)

func TestNew(t *testing.T) {
	t.Run("writes one line of key=value pairs without stack traces", func(t *testing.T) {
		i := is.New(t)
		var out bytes.Buffer
		log, err := logger.New("info", &out)
		i.NoErr(err)
		log.With(zap.String("host", "entry-1")).Warn("watch-failed", zap.Error(eris.New("service is down")))
		line := out.String()
		i.Equal(strings.Count(line, "\n"), 1)
		i.True(strings.Contains(line, `level=warn event=watch-failed host=entry-1 error="service is down"`))
		i.True(!strings.Contains(line, ".go"))
	})
	t.Run("omits events below its level", func(t *testing.T) {
		i := is.New(t)
		var out bytes.Buffer
		log, err := logger.New("warn", &out)
		i.NoErr(err)
		log.Info("host-started")
		i.Equal(out.Len(), 0)
	})
	t.Run("rejects an unknown level", func(t *testing.T) {
		_, err := logger.New("loud", &bytes.Buffer{})
		is.New(t).True(err != nil)
	})
}
