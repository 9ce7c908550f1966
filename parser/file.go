// Package parser reads a firm's declarations: its data centers, services,
// endpoints, links, contracts and customers. A file is accepted or refused as a
// whole. Every problem is reported with its file, line and key and with what was
// expected.
//
// # Usage
//
//	file, err := parser.Parse("tamsui.toml", source)
//	if problems, ok := errors.AsType[decoder.Problems](err); ok { ... }
//	fleet, err := compiler.Compile(file, revision)
//
// The keys are documented in docs/operators/declarations.md; examples/ has two
// example files.
package parser

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Kinds of services.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Urgencies of services.
const (
	UrgencyPatient = "patient"
	UrgencyUrgent  = "urgent"
)

// Roles of endpoints.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
	RolePlain   = "plain"
)

// File is a validated declarations file.
type File struct {
	// Name identifies the file in error messages.
	Name string `toml:"-"`
	// Source is the file as it was published.
	Source []byte `toml:"-"`

	Firm            identifier.Firm  `toml:"firm" validate:"required,name"`
	DataCenters     []DataCenter     `toml:"data-center" validate:"min=1,dive"`
	Services        []Service        `toml:"service" validate:"min=1,dive"`
	Endpoints       []Endpoint       `toml:"endpoint" validate:"dive"`
	Links           []Link           `toml:"link" validate:"dive"`
	Contracts       []Contract       `toml:"contract" validate:"dive"`
	Customers       []Customer       `toml:"customer" validate:"dive"`
	DefaultCustomer *DefaultCustomer `toml:"default-customer"`
}

// DataCenter is a [[data-center]] table.
type DataCenter struct {
	Name   identifier.DataCenter `toml:"name" validate:"required,name"`
	Region string                `toml:"region" validate:"required,name"`
}

// Service is a [[service]] table.
type Service struct {
	Name            identifier.Service `toml:"name" validate:"required,name"`
	Kind            string             `toml:"kind" validate:"oneof=model plain"`
	Model           identifier.Model   `toml:"model" validate:"omitempty,name"`
	Version         string             `toml:"version" validate:"omitempty,name"`
	Adapters        []string           `toml:"adapters" validate:"max=1000,dive,name"`
	Urgency         string             `toml:"urgency" validate:"oneof=patient urgent"`
	Repeatable      bool               `toml:"repeatable"`
	FirstToken      time.Duration      `toml:"first-token" validate:"gte=0,lte=1h"`
	BetweenTokens   time.Duration      `toml:"between-tokens" validate:"gte=0,lte=1h"`
	Objective       float64            `toml:"objective" validate:"gt=0,lt=1"`
	Timeout         time.Duration      `toml:"timeout" validate:"gt=0,lte=24h"`
	QueueLimit      int                `toml:"queue-limit" validate:"gt=0,lte=1000000"`
	FloorShare      float64            `toml:"floor-share" validate:"gte=0,lte=1"`
	AgeLimit        time.Duration      `toml:"age-limit" validate:"gt=0,lte=24h"`
	MaxPromptTokens identifier.Tokens  `toml:"max-prompt-tokens" validate:"gt=0,lte=10000000"`
	MaxOutputTokens identifier.Tokens  `toml:"max-output-tokens" validate:"gt=0,lte=10000000"`
	Retry           Retry              `toml:"retry"`
}

// Retry is the retry table of a service.
type Retry struct {
	Ratio       float64 `toml:"ratio" validate:"gte=0,lte=1"`
	Capacity    float64 `toml:"capacity" validate:"gte=0,lte=1000000"`
	MaxAttempts int     `toml:"max-attempts" validate:"gt=0,lte=100"`
}

// Endpoint is an [[endpoint]] table. With Count above 1 it declares several
// endpoints; see Expand.
type Endpoint struct {
	Name       string                `toml:"name" validate:"required"`
	Service    identifier.Service    `toml:"service" validate:"required"`
	DataCenter identifier.DataCenter `toml:"data-center" validate:"required"`
	Address    identifier.Address    `toml:"address" validate:"required,ip-port"`
	// Role is empty until defaults are set if the file doesn't specify it.
	Role           string            `toml:"role" validate:"omitempty,oneof=prefill decode both plain"`
	Owner          identifier.Firm   `toml:"owner" validate:"omitempty,name"`
	Slots          int               `toml:"slots" validate:"gt=0,lte=100000"`
	Pieces         identifier.Pieces `toml:"pieces" validate:"lte=100000000"`
	TokensPerPiece identifier.Tokens `toml:"tokens-per-piece" validate:"gt=0,lte=1000000"`
	ChecksFence    bool              `toml:"checks-fence"`
	Leaving        bool              `toml:"leaving"`
	// Count is the number of endpoints that the table declares.
	Count int `toml:"count" validate:"gt=0,lte=10000"`
	// FirstNumber is the number of the table's first endpoint.
	FirstNumber int `toml:"first-number" validate:"gte=0,lte=1000000"`
}

// Link is a [[link]] table.
type Link struct {
	From identifier.DataCenter `toml:"from" validate:"required"`
	To   identifier.DataCenter `toml:"to" validate:"required"`
	// Rate is the throughput in pieces per second.
	Rate float64 `toml:"rate" validate:"gt=0,lte=1000000000"`
}

// Contract is a [[contract]] table.
type Contract struct {
	Name     string             `toml:"name" validate:"required,name"`
	Service  identifier.Service `toml:"service" validate:"required"`
	Borrower identifier.Firm    `toml:"borrower" validate:"required,name"`
	Share    float64            `toml:"share" validate:"gt=0,lte=1"`
	Start    TimeOfDay          `toml:"start"`
	End      TimeOfDay          `toml:"end"`
}

// Customer is a [[customer]] table. It declares either the customer Name or all
// customers in Names. The limits apply to each customer separately; 0 means no
// limit.
type Customer struct {
	Name              identifier.Customer   `toml:"name" validate:"omitempty,name"`
	Names             []identifier.Customer `toml:"names" validate:"dive,name"`
	Firm              identifier.Firm       `toml:"firm" validate:"omitempty,name"`
	RequestsPerSecond float64               `toml:"requests-per-second" validate:"gte=0,lte=1000000000"`
	Burst             float64               `toml:"burst" validate:"gte=0,lte=1000000000"`
	TokensPerSecond   float64               `toml:"tokens-per-second" validate:"gte=0,lte=1000000000"`
}

// DefaultCustomer is the [default-customer] table.
type DefaultCustomer struct {
	RequestsPerSecond float64 `toml:"requests-per-second" validate:"gte=0,lte=1000000000"`
	Burst             float64 `toml:"burst" validate:"gte=0,lte=1000000000"`
	TokensPerSecond   float64 `toml:"tokens-per-second" validate:"gte=0,lte=1000000000"`
}
