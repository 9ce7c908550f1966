package exchanger_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
)

const (
	// testBuffered is the memory for buffered bodies, of which an endpoint gets half,
	// and testBody a body of which an endpoint may have two.
	testBuffered = 8 << 20
	testBody     = testBuffered/4 - 1
)

// receiveBody sends a request and reads the body of the response.
func receiveBody(t *testing.T, x *exchanger.Exchanger, e *scriptedServer) (*exchanger.Response, []byte, error) {
	t.Helper()
	response, err := x.Send(context.Background(), e.address, &exchanger.Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1"})
	is.New(t).NoErr(err)
	body, err := response.ReadAll(testBuffered)
	return response, body, err
}

// A host buffered up to 16 MiB for each call to an endpoint whose body had no end.
func TestBuffersWithoutEnd(t *testing.T) {
	e, closed := endless(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	x := exchanger.New(exchanger.Options{IDHeader: idHeader, MaxBuffered: testBuffered})
	callEndless(t, x, e, exchanger.ErrTooLarge, func(r *exchanger.Response) error {
		_, err := r.ReadAll(16 << 20)
		return err
	})
	for range endlessCalls {
		<-closed
	}
	is.New(t).Equal(x.Stats().OversizedResponses, uint64(endlessCalls))
}

// One endpoint's large bodies must not take the memory that others need.
func TestBuffersOfOtherEndpoints(t *testing.T) {
	i := is.New(t)
	large := listen(t, respondWith(func(id string) string { return completeResponse(id, strings.Repeat("x", testBody)) }))
	others := listen(t, respondWith(func(id string) string { return completeResponse(id, strings.Repeat("x", testBody)) }))
	small := listen(t, respondWith(func(id string) string { return completeResponse(id, strings.Repeat("x", 60<<10)) }))
	x := exchanger.New(exchanger.Options{IDHeader: idHeader, MaxBuffered: testBuffered})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, e := range []*scriptedServer{large, large, others, others} {
		r, _, err := receiveBody(t, x, e)
		i.NoErr(err)
		r.KeepBody(ctx)
		r.Close()
	}
	r, _, err := receiveBody(t, x, large) // over the endpoint's share
	i.True(errors.Is(err, exchanger.ErrTooLarge))
	r.Close()
	last := listen(t, respondWith(func(id string) string { return completeResponse(id, strings.Repeat("x", testBody)) }))
	r, _, err = receiveBody(t, x, last) // over the whole memory
	i.True(errors.Is(err, exchanger.ErrBuffersFull))
	i.Equal(classifier.Of(err).Verdict, classifier.VerdictMayHaveRun)
	r.Close()
	r, body, err := receiveBody(t, x, small)
	i.NoErr(err)
	i.Equal(len(body), 60<<10)
	r.Close()
	cancel()
	err = errors.New("not tried")
	for began := time.Now(); err != nil && time.Since(began) < endlessTimeout; {
		r, _, err = receiveBody(t, x, last) // the memory is released by another goroutine
		r.Close()
	}
	i.NoErr(err)
}

func TestBuffersAreReleased(t *testing.T) {
	i := is.New(t)
	e := listen(t, respondWith(func(id string) string { return completeResponse(id, strings.Repeat("x", testBody)) }))
	x := exchanger.New(exchanger.Options{IDHeader: idHeader, MaxBuffered: testBuffered})
	for range 20 {
		r, body, err := receiveBody(t, x, e)
		i.NoErr(err)
		i.Equal(len(body), testBody)
		r.Close()
	}
}
