package emulator

import "github.com/jackdawthread/jackdawthread/wire/enginewire"

// sendChunk hands a message of a decode stream to its reader.
type sendChunk func(*enginewire.DecodeResponse) error

// disturbed gives a send that repeats and swaps messages as the faults say.
func (f *Faults) disturbed(send sendChunk) sendChunk {
	if f.RepeatEvery == 0 && f.SwapEvery == 0 {
		return send
	}
	d := &disturber{faults: f, send: send}
	return d.pass
}

// disturber counts the messages of one stream.
type disturber struct {
	faults *Faults
	send   sendChunk
	count  int
	held   *enginewire.DecodeResponse // goes after the next message
}

func (d *disturber) pass(m *enginewire.DecodeResponse) error {
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
	return d.release()
}

// release sends the message that was held back.
func (d *disturber) release() error {
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
