package admit

import (
	"time"

	"kumquathinge/core"
)

// Default values of Config.
const (
	DefaultMaxQueued         = 4096
	DefaultMaxQueuedPerOrg   = 2048
	DefaultPriorities        = 10
	DefaultPriorityLead      = 256.0  // work per unit of weight
	DefaultIdleCredit        = 2048.0 // work per unit of weight
	DefaultBurstTime         = time.Second
	DefaultAgingTime         = time.Minute
	DefaultEWMAWeight        = 0.05
	DefaultUsageTimeConstant = 5 * time.Second
)

// Config configures a Controller. Zero fields take the default values.
type Config struct {
	MaxQueued         int           // items waiting for one model, until SetMaxQueued
	MaxQueuedPerOrg   int           // items of one organisation waiting for one model
	Priorities        int           // number of priorities; Priorities-1 is the most urgent
	PriorityLead      float64       // work per unit of weight by which urgent items may run ahead of an equal share
	IdleCredit        float64       // work per unit of weight that an idle organisation may catch up on
	BurstTime         time.Duration // an idle organisation accumulates its rate limit over this time
	AgingTime         time.Duration // an item that has waited this long precedes all later ones of its queue
	EWMAWeight        float64       // weight of a new sample in the moving average of the service rate, in (0, 1]
	UsageTimeConstant time.Duration // time constant of the demand average that Usage reports
	DefaultLimits     OrgLimits     // limits of organisations without their own
}

// OrgLimits are an organisation's limits over the whole system. A zero rate or
// concurrency means no limit. A zero weight counts as 1; others are clamped to
// [0.001, 1e6]. MaxPriority is the most urgent priority allowed for its items.
type OrgLimits struct {
	Weight            float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
	MaxPriority       int
}

// Item is a request for admission. Cost is the expected number of generated
// tokens and is charged to the organisation's limits. Work is the expected
// load on the model, used for fair shares and time estimates; its unit is
// arbitrary but the same for all items of a model, and Cost is used if Work is
// zero. Cost must be positive and Work not negative. IDs are unique among the
// items that wait or run. A zero Deadline means no deadline.
type Item struct {
	ID       uint64
	Org      core.OrgName
	Model    core.ModelName
	Priority int
	Cost     float64
	Work     float64
	Deadline time.Time
}

// Action is a decision that the owner of a Controller must carry out: an Admit
// or a Reject.
type Action interface{ action() }

// Admit starts an item. The owner calls Done or Cancel for it later.
type Admit struct{ ID uint64 }

// Reject rejects an item before it runs. RetryAfter is the delay after which a
// retry may succeed.
type Reject struct {
	ID         uint64
	Code       core.Code
	RetryAfter time.Duration
}

var (
	_ Action = Admit{}
	_ Action = Reject{}
)

func (Admit) action()  {}
func (Reject) action() {}

func (cfg Config) withDefaults() Config {
	defaultInt(&cfg.MaxQueued, DefaultMaxQueued)
	defaultInt(&cfg.MaxQueuedPerOrg, DefaultMaxQueuedPerOrg)
	defaultInt(&cfg.Priorities, DefaultPriorities)
	if cfg.PriorityLead <= 0 {
		cfg.PriorityLead = DefaultPriorityLead
	}
	if cfg.IdleCredit <= 0 {
		cfg.IdleCredit = DefaultIdleCredit
	}
	if cfg.BurstTime <= 0 {
		cfg.BurstTime = DefaultBurstTime
	}
	if cfg.AgingTime <= 0 {
		cfg.AgingTime = DefaultAgingTime
	}
	if cfg.EWMAWeight <= 0 || cfg.EWMAWeight > 1 {
		cfg.EWMAWeight = DefaultEWMAWeight
	}
	if cfg.UsageTimeConstant <= 0 {
		cfg.UsageTimeConstant = DefaultUsageTimeConstant
	}
	if cfg.DefaultLimits == (OrgLimits{}) {
		cfg.DefaultLimits.MaxPriority = cfg.Priorities - 1
	}
	return cfg
}

func defaultInt(val *int, def int) {
	if *val <= 0 {
		*val = def
	}
}
