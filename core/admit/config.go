package admit

import (
	"time"

	"kumquathinge/core"
)

// Defaults of Config.
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

// Config sets the bounds of a Machine. Zero fields take the defaults.
type Config struct {
	MaxQueued         int           // items waiting for one model, until SetDepth
	MaxQueuedPerOrg   int           // items of one organisation waiting for one model
	Priorities        int           // priorities run from 0 to Priorities-1, the most urgent
	PriorityLead      float64       // work per weight by which priority may run ahead
	IdleCredit        float64       // work per weight that an idle organisation may catch up on
	BurstTime         time.Duration // time's worth of its rate that an idle organisation saves up
	AgingTime         time.Duration // after which an item goes before all later ones of its queue
	EWMAWeight        float64       // weight of a new observation of the service rate, in (0, 1]
	UsageTimeConstant time.Duration // time constant of the demand that Usage reports
	DefaultLimits     OrgLimits     // limits of organisations without any
}

// OrgLimits are an organisation's limits over the whole system. A zero rate
// or concurrency is no limit; a zero weight counts as 1, others are taken into
// [0.001, 1e6]. Priority is the most urgent priority that its items may have.
type OrgLimits struct {
	Weight            float64
	RequestsPerSecond float64 // per second
	TokensPerSecond   float64 // per second
	Concurrency       int
	MaxPriority       int
}

// Item is a request that asks to run. Cost is its expected size in generated
// tokens, for the organisation's limits. Work is its expected size as the models feel it,
// in any unit that all items of a model share, for fair shares and estimates
// of time; Cost stands for it if it is zero. Cost must be positive and Work not
// negative. IDs are unique among the items that wait or run. The zero Deadline
// is none.
type Item struct {
	ID       uint64
	Org      core.OrgName
	Model    core.ModelName
	Priority int
	Cost     float64
	Work     float64
	Deadline time.Time
}

// Action is what the owner of a Machine has to do: an Admit or a Refuse.
type Action interface{ action() }

// Admit tells to run the item now. Its owner calls Done or Cancel later.
type Admit struct{ ID uint64 }

// Reject tells to answer that the item did not run. After is the time after
// which a new try may succeed.
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
