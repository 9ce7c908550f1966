package throttler

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/limiter"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

func encodeUsages(usages []limiter.Usage) peerwire.Usage {
	var m peerwire.Usage
	for _, u := range usages {
		m.Usages = append(m.Usages, peerwire.CustomerUsage{
			Customer:         string(u.Customer),
			AdmittedRequests: u.Admitted.Requests,
			AdmittedTokens:   u.Admitted.Tokens,
			WantedRequests:   u.Wanted.Requests,
			WantedTokens:     u.Wanted.Tokens,
		})
	}
	return m
}

func decodeUsages(m *peerwire.Usage) []limiter.Usage {
	usages := make([]limiter.Usage, 0, len(m.Usages))
	for _, u := range m.Usages {
		usages = append(usages, limiter.Usage{
			Customer: identifier.Customer(u.Customer),
			Admitted: limiter.Cost{Requests: u.AdmittedRequests, Tokens: u.AdmittedTokens},
			Wanted:   limiter.Cost{Requests: u.WantedRequests, Tokens: u.WantedTokens},
		})
	}
	return usages
}

func encodeShares(shares []limiter.Share) *peerwire.Shares {
	m := &peerwire.Shares{}
	for _, s := range shares {
		m.Shares = append(m.Shares, peerwire.CustomerShare{Customer: string(s.Customer), Fraction: s.Fraction, Burst: s.Burst})
	}
	return m
}

func decodeShares(m *peerwire.Shares) []limiter.Share {
	shares := make([]limiter.Share, 0, len(m.Shares))
	for _, s := range m.Shares {
		shares = append(shares, limiter.Share{Customer: identifier.Customer(s.Customer), Fraction: s.Fraction, Burst: s.Burst})
	}
	return shares
}
