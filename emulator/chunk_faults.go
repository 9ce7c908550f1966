package emulator

import "github.com/jackdawthread/jackdawthread/wire/enginewire"

// sendFunc sends one message of a decode stream.
type sendFunc func(*enginewire.DecodeResponse) error

// injectMessageFaults wraps send so that messages are duplicated and reordered
// as configured.
func (f *Faults) injectMessageFaults(send sendFunc) sendFunc {
	if f.RepeatEvery == 0 && f.SwapEvery == 0 {
		return send
	}
	d := &messageFaultInjector{faults: f, send: send}
	return d.forward
}

// messageFaultInjector duplicates and reorders the messages of one stream.
type messageFaultInjector struct {
	faults *Faults
	send   sendFunc
	count  int
	held   *enginewire.DecodeResponse // sent after the next message
}

func (d *messageFaultInjector) forward(m *enginewire.DecodeResponse) error {
	d.count++
	if isNth(d.count, d.faults.SwapEvery) && !m.GetDone() && d.held == nil {
		d.held = m
		return nil
	}
	if err := d.send(m); err != nil {
		return err
	}
	if isNth(d.count, d.faults.RepeatEvery) && !m.GetDone() {
		if err := d.send(m); err != nil {
			return err
		}
	}
	return d.sendHeld()
}

// sendHeld sends the message that was held back, if any.
func (d *messageFaultInjector) sendHeld() error {
	m := d.held
	d.held = nil
	if m == nil {
		return nil
	}
	return d.send(m)
}

func isNth(count, n int) bool {
	return n > 0 && count%n == 0
}
