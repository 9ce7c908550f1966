package differ

import (
	"fmt"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// entities returns the fields of every entity that a fleet declares.
func entities(f *compiler.Fleet) map[entityKey][]Field {
	all := map[entityKey][]Field{
		{kind: KindFirm}: fields("name", f.Firm),
	}
	for name, d := range f.DataCenters {
		all[entityKey{kind: KindDataCenter, name: string(name)}] = fields("region", d.Region)
	}
	for name, s := range f.Services {
		all[entityKey{kind: KindService, name: string(name)}] = serviceFields(s)
	}
	for name, e := range f.Endpoints {
		all[entityKey{kind: KindEndpoint, name: string(name)}] = endpointFields(e)
	}
	for key, l := range f.Links {
		name := fmt.Sprintf("%s to %s", key.From, key.To)
		all[entityKey{kind: KindLink, name: name}] = fields("rate", l.Rate)
	}
	for _, c := range f.Contracts {
		all[entityKey{kind: KindContract, name: c.Name}] = contractFields(c)
	}
	for name, u := range f.Customers {
		all[entityKey{kind: KindCustomer, name: string(name)}] = customerFields(u)
	}
	if u := f.DefaultCustomer; u != nil {
		all[entityKey{kind: KindDefaultCustomer}] = customerFields(u)
	}
	return all
}

// fields builds a list of fields from alternating keys and values. The values are
// stored in New.
func fields(pairs ...any) []Field {
	list := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		list = append(list, Field{Key: fmt.Sprint(pairs[i]), New: fmt.Sprint(pairs[i+1])})
	}
	return list
}

func serviceFields(s *compiler.Service) []Field {
	return fields(
		"kind", s.Kind,
		"model", s.Model,
		"version", s.Version,
		"adapters", strings.Join(s.Adapters, ","),
		"urgency", s.Urgency,
		"repeatable", s.Repeatable,
		"first-token", s.FirstToken,
		"between-tokens", s.BetweenTokens,
		"objective", s.Objective,
		"timeout", s.Timeout,
		"queue-limit", s.QueueLimit,
		"floor-share", s.FloorShare,
		"age-limit", s.AgeLimit,
		"max-prompt-tokens", s.MaxPromptTokens,
		"max-output-tokens", s.MaxOutputTokens,
		"retry.ratio", s.Retry.Ratio,
		"retry.capacity", s.Retry.Capacity,
		"retry.max-attempts", s.Retry.MaxAttempts,
	)
}

func endpointFields(e *compiler.Endpoint) []Field {
	return fields(
		"service", e.Service,
		"data-center", e.DataCenter,
		"address", e.Address,
		"role", e.Role,
		"owner", e.Owner,
		"slots", e.Slots,
		"pieces", e.Pieces,
		"tokens-per-piece", e.TokensPerPiece,
		"checks-fence", e.ChecksFence,
		"leaving", e.Leaving,
	)
}

func contractFields(c *compiler.Contract) []Field {
	return fields(
		"service", c.Service,
		"borrower", c.Borrower,
		"share", c.Share,
		"start", formatTimeOfDay(c.Start),
		"end", formatTimeOfDay(c.End),
	)
}

func customerFields(u *compiler.Customer) []Field {
	return fields(
		"firm", u.Firm,
		"requests-per-second", u.RequestsPerSecond,
		"burst", u.Burst,
		"tokens-per-second", u.TokensPerSecond,
	)
}

func formatTimeOfDay(since time.Duration) string {
	return fmt.Sprintf("%02d:%02d", int(since.Hours()), int(since.Minutes())%60)
}
