package assembler_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/settings"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// propagationTimeout bounds the time until a change is in force at every host, and
// until an order has taken effect.
const propagationTimeout = 5 * time.Second

// declarationsWithVersion returns the system's first declarations with another
// version of the dealer-desk's model.
func declarationsWithVersion(s *assembler.System, version string) []byte {
	return []byte(strings.ReplaceAll(string(s.Fleet.Source), `version = "11"`, `version = "`+version+`"`))
}

// withSystem runs a test in virtual time with three hosts per data center, two of
// which read the platform.
func withSystem(t *testing.T, test func(*testing.T, *assembler.System)) {
	synctest.Test(t, func(t *testing.T) {
		s := startOnMemoryNetwork(t, 3)
		defer s.Close()
		test(t, s)
	})
}

func inForceEverywhere(s *assembler.System, r identifier.Revision) bool {
	for _, name := range s.Hosts() {
		if f := s.Host(name).Fleet(); f == nil || f.Revision != r {
			return false
		}
	}
	return true
}

func assertInForce(t *testing.T, s *assembler.System, r identifier.Revision) {
	t.Helper()
	for _, name := range s.Hosts() {
		if status := s.Host(name).Status(); status.GetRevision() != uint64(r) {
			t.Errorf("host %s has revision %d (%s), expected %d", name, status.GetRevision(), status.GetDeclarations(), r)
		}
	}
}

// assertVersion checks the version in the last order that the dealer-desk's engines
// took.
func assertVersion(t *testing.T, s *assembler.System, version string) {
	t.Helper()
	for _, e := range s.Site.Engines() {
		if s.Fleet.Endpoints[e.Name()].Service != "dealer-desk" {
			continue
		}
		report, err := e.Load(t.Context(), connect.NewRequest(&enginewire.LoadRequest{}))
		is.New(t).NoErr(err)
		if got := report.Msg.GetVersion(); got != version {
			t.Errorf("engine %s has version %q, expected %q", e.Name(), got, version)
		}
	}
}

func publish(t *testing.T, s *assembler.System, source []byte) {
	t.Helper()
	is.New(t).NoErr(s.Publish(source))
}

func restart(t *testing.T, s *assembler.System, names ...identifier.Host) {
	t.Helper()
	for _, name := range names {
		s.Host(name).Kill()
	}
	for _, name := range names {
		_, err := s.StartHost(name, s.DataCenter(name))
		is.New(t).NoErr(err)
	}
}

func TestDeclarationsPropagate(t *testing.T) {
	withSystem(t, func(t *testing.T, s *assembler.System) {
		assertInForce(t, s, 1)
		// At startup every host watched the platform, because it knew no other host yet.
		// Wait for these watches to end.
		time.Sleep(settings.Default().Platform.Wait + time.Second)
		started := time.Now()
		publish(t, s, declarationsWithVersion(s, "12"))
		for !inForceEverywhere(s, 2) && time.Since(started) < propagationTimeout {
			time.Sleep(time.Millisecond)
		}
		assertInForce(t, s, 2)
		t.Logf("in force at %d hosts after %v", len(s.Hosts()), time.Since(started))
		time.Sleep(propagationTimeout)
		assertVersion(t, s, "12")
	})
}

func TestInvalidDeclarationsAreRejected(t *testing.T) {
	withSystem(t, func(t *testing.T, s *assembler.System) {
		publish(t, s, declarationsWithVersion(s, "Not A Name"))
		time.Sleep(propagationTimeout)
		assertInForce(t, s, 1)
		refused := 0
		for _, name := range s.Hosts() {
			if strings.Contains(s.Host(name).Status().GetRefused(), "service.version: expected a name") {
				refused++
			}
		}
		is.New(t).True(refused > 0)
		publish(t, s, declarationsWithVersion(s, "13"))
		time.Sleep(propagationTimeout)
		assertInForce(t, s, 3)
	})
}

func TestRestartWithStalePlatform(t *testing.T) {
	t.Run("peers have the newer revision", func(t *testing.T) {
		withSystem(t, func(t *testing.T, s *assembler.System) {
			publish(t, s, declarationsWithVersion(s, "12"))
			time.Sleep(propagationTimeout)
			s.Site.Platform.SetMaxRevision(1)
			restart(t, s, s.Hosts()[0], s.Hosts()[4])
			time.Sleep(propagationTimeout)
			assertInForce(t, s, 2)
		})
	})
	t.Run("only engines know of the newer revision", func(t *testing.T) {
		withSystem(t, func(t *testing.T, s *assembler.System) {
			publish(t, s, declarationsWithVersion(s, "12"))
			time.Sleep(2 * propagationTimeout)
			s.Site.Platform.SetMaxRevision(1)
			restart(t, s, s.Hosts()...)
			time.Sleep(time.Minute)
			assertInForce(t, s, 0)
			is.New(t).Equal(s.Host(s.Hosts()[0]).Status().GetDeclarations(), "held")
			assertVersion(t, s, "12")
			s.Site.Platform.SetMaxRevision(0)
			time.Sleep(2 * propagationTimeout)
			assertInForce(t, s, 2)
		})
	})
}

// TestStaleOrderHasNoLastingEffect sends each engine an order of an old revision,
// as a host that was paused would. The version must be corrected whether or not
// the engine checks the fence.
func TestStaleOrderHasNoLastingEffect(t *testing.T) {
	withSystem(t, func(t *testing.T, s *assembler.System) {
		publish(t, s, declarationsWithVersion(s, "12"))
		time.Sleep(2 * propagationTimeout)
		assertVersion(t, s, "12")
		accepted := 0
		for _, e := range s.Site.Engines() {
			if sendStaleOrder(t.Context(), e, s.Fleet.Endpoints[e.Name()]) {
				accepted++
			}
		}
		is.New(t).True(accepted > 0) // the engines that don't check the fence accept it
		time.Sleep(15 * time.Second)
		assertVersion(t, s, "12")
	})
}

// orderReceiver is an engine that accepts orders.
type orderReceiver interface {
	Order(context.Context, *connect.Request[enginewire.OrderRequest]) (*connect.Response[enginewire.OrderResponse], error)
}

// sendStaleOrder sends the order of revision 1 to a dealer-desk engine and reports
// whether it was accepted.
func sendStaleOrder(ctx context.Context, e orderReceiver, declared *compiler.Endpoint) bool {
	if declared.Service != "dealer-desk" {
		return false
	}
	_, err := e.Order(ctx, connect.NewRequest(&enginewire.OrderRequest{
		Fence: 1, Role: declared.Role.String(), Models: []string{"quotes-8b"}, Version: "11",
	}))
	return err == nil
}
