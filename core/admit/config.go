package admit

import (
	"time"

	"kumquathinge/core"
)

// Defaults of Config.
const (
	DefaultMaxQueued  = 4096
	DefaultMaxPerOrg  = 2048
	DefaultPriorities = 10
	DefaultLead       = 256.0  // work per unit of weight
	DefaultCredit     = 2048.0 // work per unit of weight
	DefaultBurst      = time.Second
	DefaultPatience   = time.Minute
	DefaultGain       = 0.05
	DefaultUsageTime  = 5 * time.Second
)

// Config sets the bounds of a Machine. Zero fields take the defaults.
type Config struct {
	MaxQueued  int           // items waiting for one model, until SetDepth
	MaxPerOrg  int           // items of one organisation waiting for one model
	Priorities int           // priorities run from 0 to Priorities-1, the most urgent
	Lead       float64       // work per weight by which priority may run ahead
	Credit     float64       // work per weight that an idle organisation may catch up on
	Burst      time.Duration // time's worth of its rate that an idle organisation saves up
	Patience   time.Duration // after which an item goes before all later ones of its queue
	Gain       float64       // weight of a new observation of the service rate, in (0, 1]
	UsageTime  time.Duration // time constant of the demand that Usage reports
	Default    OrgLimits     // limits of organisations without any
}

// OrgLimits are an organisation's limits over the whole system. A zero rate
// or concurrency is no limit; a zero weight counts as 1, others are taken into
// [0.001, 1e6]. Priority is the most urgent priority that its items may have.
type OrgLimits struct {
	Weight      float64
	Requests    float64 // per second
	Tokens      float64 // per second
	Concurrency int
	Priority    int
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

// Refuse tells to answer that the item did not run. After is the time after
// which a new try may succeed.
type Refuse struct {
	ID    uint64
	Code  core.Code
	After time.Duration
}

var (
	_ Action = Admit{}
	_ Action = Refuse{}
)

func (Admit) action()  {}
func (Refuse) action() {}

func (cfg Config) withDefaults() Config {
	setInt(&cfg.MaxQueued, DefaultMaxQueued)
	setInt(&cfg.MaxPerOrg, DefaultMaxPerOrg)
	setInt(&cfg.Priorities, DefaultPriorities)
	if cfg.Lead <= 0 {
		cfg.Lead = DefaultLead
	}
	if cfg.Credit <= 0 {
		cfg.Credit = DefaultCredit
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	if cfg.Patience <= 0 {
		cfg.Patience = DefaultPatience
	}
	if cfg.Gain <= 0 || cfg.Gain > 1 {
		cfg.Gain = DefaultGain
	}
	if cfg.UsageTime <= 0 {
		cfg.UsageTime = DefaultUsageTime
	}
	if cfg.Default == (OrgLimits{}) {
		cfg.Default.Priority = cfg.Priorities - 1
	}
	return cfg
}

func setInt(val *int, def int) {
	if *val <= 0 {
		*val = def
	}
}
