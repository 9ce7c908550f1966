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

// spreadLimit is the time within which a change is to be in force everywhere,
// and an order to have had its effect.
const spreadLimit = 5 * time.Second

// withVersion gives the system's first file with another version of the
// dealer-desk's model.
func withVersion(s *assembler.System, version string) []byte {
	return []byte(strings.ReplaceAll(string(s.Fleet.Source), `version = "11"`, `version = "`+version+`"`))
}

// inSystem runs a test in virtual time on three hosts a data center, of which
// two read the platform.
func inSystem(t *testing.T, test func(*testing.T, *assembler.System)) {
	synctest.Test(t, func(t *testing.T) {
		s := startMemory(t, 3)
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

// assertVersion checks what the dealer-desk's engines were last ordered to.
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

func TestDeclarationsSpread(t *testing.T) {
	inSystem(t, func(t *testing.T, s *assembler.System) {
		assertInForce(t, s, 1)
		// Each host watched the platform while it knew of no other.
		time.Sleep(settings.Default().Platform.Wait + time.Second)
		began := time.Now()
		publish(t, s, withVersion(s, "12"))
		for !inForceEverywhere(s, 2) && time.Since(began) < spreadLimit {
			time.Sleep(time.Millisecond)
		}
		assertInForce(t, s, 2)
		t.Logf("in force at %d hosts after %v", len(s.Hosts()), time.Since(began))
		time.Sleep(spreadLimit)
		assertVersion(t, s, "12")
	})
}

func TestFaultyDeclarations(t *testing.T) {
	inSystem(t, func(t *testing.T, s *assembler.System) {
		publish(t, s, withVersion(s, "Not A Name"))
		time.Sleep(spreadLimit)
		assertInForce(t, s, 1)
		refused := 0
		for _, name := range s.Hosts() {
			if strings.Contains(s.Host(name).Status().GetRefused(), "service.version: expected a name") {
				refused++
			}
		}
		is.New(t).True(refused > 0)
		publish(t, s, withVersion(s, "13"))
		time.Sleep(spreadLimit)
		assertInForce(t, s, 3)
	})
}

func TestRestartIntoStaleService(t *testing.T) {
	t.Run("peers know better", func(t *testing.T) {
		inSystem(t, func(t *testing.T, s *assembler.System) {
			publish(t, s, withVersion(s, "12"))
			time.Sleep(spreadLimit)
			s.Site.Platform.SetMaxRevision(1)
			restart(t, s, s.Hosts()[0], s.Hosts()[4])
			time.Sleep(spreadLimit)
			assertInForce(t, s, 2)
		})
	})
	t.Run("engines know better", func(t *testing.T) {
		inSystem(t, func(t *testing.T, s *assembler.System) {
			publish(t, s, withVersion(s, "12"))
			time.Sleep(2 * spreadLimit)
			s.Site.Platform.SetMaxRevision(1)
			restart(t, s, s.Hosts()...)
			time.Sleep(time.Minute)
			assertInForce(t, s, 0)
			is.New(t).Equal(s.Host(s.Hosts()[0]).Status().GetDeclarations(), "held")
			assertVersion(t, s, "12")
			s.Site.Platform.SetMaxRevision(0)
			time.Sleep(2 * spreadLimit)
			assertInForce(t, s, 2)
		})
	})
}

// A late order of a host that was paused has no lasting effect, whether or not
// the engine checks fencing.
func TestLateOrderHasNoLastingEffect(t *testing.T) {
	inSystem(t, func(t *testing.T, s *assembler.System) {
		publish(t, s, withVersion(s, "12"))
		time.Sleep(2 * spreadLimit)
		assertVersion(t, s, "12")
		effects := 0
		for _, e := range s.Site.Engines() {
			if order(t.Context(), e, s.Fleet.Endpoints[e.Name()]) {
				effects++
			}
		}
		is.New(t).True(effects > 0) // at the engines that don't check
		time.Sleep(15 * time.Second)
		assertVersion(t, s, "12")
	})
}

// orderer takes orders.
type orderer interface {
	Order(context.Context, *connect.Request[enginewire.OrderRequest]) (*connect.Response[enginewire.OrderResponse], error)
}

// order gives a dealer-desk engine the order of revision 1 once more, and
// tells whether it was taken.
func order(ctx context.Context, e orderer, declared *compiler.Endpoint) bool {
	if declared.Service != "dealer-desk" {
		return false
	}
	_, err := e.Order(ctx, connect.NewRequest(&enginewire.OrderRequest{
		Fence: 1, Role: declared.Role.String(), Models: []string{"quotes-8b"}, Version: "11",
	}))
	return err == nil
}
