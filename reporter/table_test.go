package reporter_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/reporter"
)

func TestWriteTable(t *testing.T) {
	is := is.New(t)
	windows := []reporter.Window{
		{Service: desk, Target: "first-token", Length: time.Hour, Good: 1, Total: 4, Objective: 0.95},
	}
	var text bytes.Buffer
	is.NoErr(reporter.WriteTable(&text, windows))
	is.True(strings.Contains(text.String(), "15.00 (3 of 4 bad)"))
	is.True(strings.Contains(text.String(), "dealer-desk"))
}
