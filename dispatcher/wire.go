package dispatcher

import (
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

type engineClient = enginewireconnect.EngineServiceClient

func wirePriority(u compiler.Urgency) enginewire.Priority {
	if u == compiler.UrgencyUrgent {
		return enginewire.Priority_PRIORITY_URGENT
	}
	return enginewire.Priority_PRIORITY_PATIENT
}
