package wire

import "time"

// Default limits of a Pool.
const (
	defaultDialTimeout = 2 * time.Second
	defaultSilence     = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	defaultIdleMax     = 64
	defaultMaxBody     = 16 << 20
)

// Config holds the limits of a Pool. A zero field takes its default.
type Config struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// Silence is the longest wait for the next byte of a response, and for a
	// write to make progress.
	Silence time.Duration
	// IdleTimeout is the age at which an idle connection is not reused.
	IdleTimeout time.Duration
	// IdleMax is the number of idle connections that are kept.
	IdleMax int
	// MaxBody is the largest response body of Do, in bytes.
	MaxBody int
}

func (cfg Config) withDefaults() Config {
	cfg.DialTimeout = orDefault(cfg.DialTimeout, defaultDialTimeout)
	cfg.Silence = orDefault(cfg.Silence, defaultSilence)
	cfg.IdleTimeout = orDefault(cfg.IdleTimeout, defaultIdleTimeout)
	cfg.IdleMax = orDefault(cfg.IdleMax, defaultIdleMax)
	cfg.MaxBody = orDefault(cfg.MaxBody, defaultMaxBody)
	return cfg
}

func orDefault[T int | time.Duration](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
